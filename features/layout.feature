Feature: Hosts change their model by observed demand

  # Guards against layouts in which a model is late however few requests it has.
  Scenario Outline: A replica's requests are bounded by what its callers expect
    Given callers who expect a first event within <first> ms and pauses within <pause> ms
    Then a replica of the <model> model bears <count> requests

    Examples:
      | first | pause | model | count |
      | 300   | 200   | small | 9     |
      | 300   | 200   | large | 9     |
      | 108   | 200   | large | 3     |
      | 90    | 200   | large | 0     |
      | 300   | 43    | large | 1     |
      | 300   | 30    | large | 0     |

  # Guards against judging a model by the callers of another one.
  Scenario: An objective that a model cannot meet belongs to the routes of another one
    Given routes that expect a first event within 90 ms and within 300 ms
    Then a replica of the large model bears 9 requests of these routes
    And a replica of the small model bears 9 requests of these routes

  # Guards against urgent callers being refused beside hosts that idle.
  Scenario: A small model at its slots beside a large one half empty
    Given 16 hosts for each model in each of 3 failure domains
    When the small model has 200 requests in flight and the large model 30
    Then 1 large replica of each failure domain is to become 2 small ones
    And at most 20 loads are planned

  # Guards against moves that are left out since each of them alone does little.
  Scenario: Moves go on until the small model has room
    Given 16 hosts for each model in each of 3 failure domains
    When the small model has 120 requests in flight and the large model 30
    Then 2 large replicas in all are to become small ones

  # Guards against a move that only turns the shortage around.
  Scenario Outline: The layout stays as it is
    Given 16 hosts for each model in each of 3 failure domains
    When the small model has <small> requests in flight and the large model <large>
    Then no host is to change its model

    Examples:
      | small | large |
      | 100   | 0     |
      | 200   | 100   |
      | 0     | 0     |

  # Guards against ending replicas while idle hosts are enough.
  Scenario: Survivors of a lost replica change their model before a replica is ended
    Given a failure domain whose large model has a replica and 3 hosts left of another one
    When the small model is at its slots
    Then 2 of these hosts are to become 1 small replica
    And no replica is to be ended

  # Guards against a failure domain without any replica of a model.
  Scenario: The last replica of a model in a failure domain stays
    Given 4 hosts for each model in each of 1 failure domains
    When the small model has 18 requests in flight and the large model 0
    Then no host is to change its model

  # Guards against hosts without weights that can complete nothing.
  Scenario Outline: Hosts without weights complete a replica of which half is left
    Given a fabric domain with <staged> idle hosts of the large model and <empty> empty ones
    Then the targets while the small model is short are <large> large and <small> small

    Examples:
      | staged | empty | large | small |
      | 3      | 1     | 1     | 0     |
      | 2      | 2     | 1     | 0     |
      | 1      | 3     | 0     | 1     |
      | 0      | 4     | 0     | 2     |

  # Guards against an idle model beside a full one for the rest of the day, and against
  # hosts that serve nobody while they load.
  Scenario: Replicas of the idle model serve until their hosts have the other weights
    Given a fleet of 24 hosts in 2 fabric domains whose layout follows demand
    When 4 and 50 requests are in flight for the large and the small model for 8 s
    Then 3 large and 6 small replicas serve
    And hosts load the small model
    When 25 s pass
    Then 2 large and 8 small replicas serve
    And no command broke a rule
    And the log names the demand and the end of the move

  # Guards against a layout that swings with every burst.
  Scenario: A burst shorter than a load changes nothing
    Given a fleet of 24 hosts in 2 fabric domains whose layout follows demand
    And 4 and 10 requests are in flight for the large and the small model for 30 s
    When 4 and 100 requests are in flight for the large and the small model for 9 s
    And 4 and 10 requests are in flight for the large and the small model for 30 s
    Then no host has loaded weights
    And 3 large and 6 small replicas serve

  # Guards against a leader that takes the burst in which it was elected for demand.
  Scenario: A new leader that has seen nothing but a burst changes nothing
    Given a fleet of 24 hosts in 2 fabric domains whose layout follows demand
    And 4 and 10 requests are in flight for the large and the small model for 30 s
    When 4 and 100 requests are in flight for the large and the small model for 1 s
    And the leader is lost and another daemon leads for 9 s
    Then no host has loaded weights

  # Guards against hosts that go back and forth.
  Scenario: A move is not undone by the next sample
    Given a fleet of 24 hosts in 2 fabric domains whose layout follows demand
    When 4 and 50 requests are in flight for the large and the small model for 40 s
    And 4 and 10 requests are in flight for the large and the small model for 60 s
    Then 2 large and 8 small replicas serve

  # Guards against half-moved replicas.
  Scenario: The leader is lost in the middle of a move
    Given a fleet of 24 hosts in 2 fabric domains whose layout follows demand
    When 4 and 50 requests are in flight for the large and the small model for 10 s
    And the leader is lost and another daemon leads for 40 s
    Then 2 large and 8 small replicas serve
    And no command broke a rule

  # Guards against a move that takes the last hosts of a replica that was lost.
  Scenario: A host is lost in the middle of a move
    Given a fleet of 24 hosts in 2 fabric domains whose layout follows demand
    When 4 and 50 requests are in flight for the large and the small model for 10 s
    And a host that changes its model is lost
    And 40 s pass
    Then 2 large and 7 small replicas serve
    And every recorded replica serves
    And no recorded replica has a lost host
    And no command broke a rule

  # Guards against ending a replica whose successors cannot be recorded.
  Scenario: The store is away while hosts load the other weights
    Given a fleet of 24 hosts in 2 fabric domains whose layout follows demand
    When 4 and 50 requests are in flight for the large and the small model for 8 s
    And the store is away for 12 s
    Then 3 large and 6 small replicas serve
    When the store is back for 20 s
    Then 2 large and 8 small replicas serve
    And no command broke a rule

  # Guards against changes on deployments that did not ask for them.
  Scenario: Without load awareness the configured shares decide
    Given a fleet of 24 hosts in 2 fabric domains
    When 4 and 50 requests are in flight for the large and the small model for 40 s
    Then 3 large and 6 small replicas serve
    And no host has loaded weights
