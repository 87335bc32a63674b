Feature: Replicas formed from registered hosts

  Scenario: Each fabric domain of a failure domain serves one model
    Given 2 fabric domains of 10 hosts
    Then the first is to have 2 large and 0 small replicas
    And the second is to have 0 large and 5 small replicas

  Scenario: Three fabric domains share two models
    Given 3 fabric domains of 18 hosts
    Then the first is to have 4 large and 0 small replicas
    And the second is to have 2 large and 4 small replicas
    And the third is to have 0 large and 9 small replicas

  Scenario: Parts that are no whole replicas add up over the failure domains (one model short, one idle)
    Given 3 failure domains of 2 fabric domains of 8 hosts
    And a share of 0.67 for the large model
    Then 8 large and 7 small replicas are to be had
    And each failure domain is to have replicas of both models

  Scenario Outline: A fabric domain that is too small for the shares serves what fits
    Given 1 fabric domain of <hosts> hosts
    Then the first is to have <large> large and <small> small replicas

    Examples:
      | hosts | large | small |
      | 10    | 1     | 2     |
      | 4     | 0     | 1     |
      | 3     | 0     | 1     |
      | 2     | 0     | 1     |
      | 1     | 0     | 0     |

  Scenario: Survivors of lost replicas complete each other (engines lost faster than weights load)
    Given a fabric domain for the large model with 2 lost replicas of 3 survivors each
    When it is planned while the system runs
    Then 1 large replica is formed from hosts that hold the weights
    And nothing is loaded

  Scenario Outline: Spares of several fabric domains serve a model that is short
    Given 3 large spares in each of <fabrics> fabric domains of <near> failure domains
    When spread replicas are planned while <short> is short
    Then <count> of the large model are formed, each within one failure domain

    Examples:
      | fabrics | near | short           | count |
      | 2       | 1    | the large model | 1     |
      | 3       | 1    | the large model | 2     |
      | 1       | 3    | the large model | 0     |
      | 2       | 3    | the large model | 3     |
      | 2       | 1    | the small model | 0     |
      | 2       | 1    | no model        | 0     |

  Scenario Outline: Which model is short, by what is in flight at its replicas
    Given <large> of 18 slots of the large model in use and <small> of 18 of the small
    When that lasts for 10 s, and then every slot is in use for <burst> s
    Then <models> are short

    Examples:
      | large | small | burst | models          |
      | 3     | 12    | 0     | small           |
      | 9     | 8     | 0     | no models       |
      | 3     | 6     | 0.5   | no models       |
      | 3     | 6     | 10    | large and small |

  Scenario: A host that holds the weights of two models gets one part
    Given 3 spares with both models in each of 2 fabric domains
    When spread replicas are planned while both models are short
    Then no host is in two of them

  Scenario: Two replicas with the same host are never recorded together
    Given two registers that have read the same records
    When one is to record two replicas with the same host
    Then it refuses, and nothing is recorded

  Scenario: Spares that wait in two fabric domains help out until one is whole again
    Given a fleet of 20 hosts in 2 fabric domains that all serve the large model
    And 30 s have passed with requests
    And every slot of the large model is in use
    When a member of a replica is lost in each fabric domain
    And 8 s pass
    Then 2 normal and 1 spread replicas serve
    When a host with the weights is added to the first fabric domain
    And 14 s pass
    Then 3 normal and 0 spread replicas serve
    And no order broke a rule

  Scenario: Hosts without weights are loaded before they join while the system runs
    Given a fabric domain for the large model with 3 staged and 2 empty hosts
    When it is planned while the system runs
    Then 0 large replicas are formed from hosts that hold the weights
    And 2 hosts load the large model

  Scenario: Hosts without weights join at once before the first request
    Given a fabric domain for the large model with 0 staged and 10 empty hosts
    When it is planned before the first request
    Then 2 large replicas are formed

  Scenario: Of two writers at the same time one is told to read first
    Given two registers that have read the same records
    When both record a replica with the same host
    Then one of them is recorded
    And the other writer is told that the log has grown

  Scenario: No host is ever recorded in two replicas
    When writers, lost answers and expired histories race at random
    Then every recorded replica has its own hosts

  Scenario: A fleet forms every replica before it is opened
    Given a fleet of 20 hosts in 2 fabric domains
    When 10 s pass
    Then 2 large and 5 small replicas serve
    And no order broke a rule

  Scenario: A lost member is replaced by a spare
    Given a fleet of 20 hosts in 2 fabric domains
    And 30 s have passed with requests
    When a member of a large replica is lost and its head falls silent to callers
    And 6 s pass
    Then 2 large and 5 small replicas serve
    And no order broke a rule

  Scenario: A lost head frees its members once their reports show that they left
    Given a fleet of 20 hosts in 2 fabric domains
    And 30 s have passed with requests
    When the head of a large replica is lost and falls silent to callers
    And 8 s pass
    Then 2 large and 5 small replicas serve
    And no order broke a rule

  Scenario: A daemon that is cut off gives no replica up
    Given a fleet of 20 hosts in 2 fabric domains
    And 30 s have passed with requests
    When every host is silent to this daemon and heads are suspected
    And 20 s pass
    Then every replica is still recorded

  Scenario: Orders that are carried out late break nothing
    Given a fleet of 20 hosts in 2 fabric domains
    And 30 s have passed with requests
    When every second order gets no answer and is carried out late
    And a member of a large replica is lost and its head falls silent to callers
    And 20 s pass
    Then no order broke a rule
    And 2 large and 5 small replicas serve

  Scenario: A head that comes back after its replica was ended leaves it
    Given a fleet of 20 hosts in 2 fabric domains
    And 30 s have passed with requests
    When the head of a large replica is cut off from this daemon for 12 s
    And 10 s pass
    Then no head serves a replica that is not recorded
    And no order broke a rule

  Scenario: The leadership goes to a daemon on a suitable host
    Given daemons a, b and c of which a is the leader
    And the host of b is weak
    When a falls silent
    And 8 s of watching pass
    Then c itself is the leader

  Scenario: The leadership stays in its failure domain, where its loss is known first
    Given daemons a, b and c of which a is the leader
    And the host of b is weak
    And b is in the failure domain of a
    When a falls silent
    And 8 s of watching pass
    Then b itself is the leader

  Scenario: A daemon on a weak host takes over if there is no other
    Given daemons a, b and c of which a is the leader
    And the host of b is weak
    And the host of c is weak
    When a falls silent
    And 8 s of watching pass
    Then another is the leader

  Scenario: A plan that leaves nothing to do is made again only when something changes
    Given a fleet of 20 hosts in 2 fabric domains
    And 30 s have passed with requests
    When 10 s pass with nothing new, counting plans
    Then at most 2 plans were made
    When a member of a large replica is lost and its head falls silent to callers
    And 6 s pass
    Then 2 large and 5 small replicas serve

  Scenario Outline: The leadership moves when the leader cannot act
    Given daemons a, b and c of which a is the leader
    When <fault>
    And 8 s of watching pass
    Then <leader> is the leader

    Examples:
      | fault                             | leader     |
      | nothing happens                   | a          |
      | a falls silent                    | another    |
      | the store turns a away            | another    |
      | a resigns                         | another    |
      | b hears nobody                    | a          |

  Scenario: Most of a failure domain is lost at once, and no neighbour answers
    Given a fleet of 14 hosts in 1 fabric domain
    And 30 s have passed with requests
    When 11 hosts are lost and their registrations lapse after 4 s
    And 16 s pass
    Then every recorded replica serves
    And the hosts that are left and fit serve a replica
    And no order broke a rule

  Scenario: A failure domain that is cut off keeps its replicas
    Given a fleet of 14 hosts in 1 fabric domain
    And 30 s have passed with requests
    When every host is silent to this daemon and all registrations lapse
    And 20 s pass
    Then every replica is still recorded

  Scenario: Hosts that register anew are not taken for lost any longer (a healed cut)
    Given a fleet of 14 hosts in 1 fabric domain
    And 30 s have passed with requests
    When 14 hosts are cut off and lapse while daemons there are heard
    And 10 s pass
    And the cut heals
    And 6 s pass
    Then every recorded replica serves
    And at least 10 hosts are in a replica
    And no order broke a rule

  Scenario: Replicas of which nothing is left are ended after a restart of everything
    Given a fleet of 14 hosts in 1 fabric domain
    And 30 s have passed with requests
    When another daemon starts after every host was replaced by a new one
    And 40 s pass
    Then every recorded replica serves
    And no order broke a rule

  Scenario: A stray's members leave after its head (a healed cut)
    Given a fleet of 14 hosts in 1 fabric domain
    And 30 s have passed with requests
    When a replica is dropped whose hosts still play it, and its head is silent
    And 4 s pass
    Then no member of it was told to leave
    When its head answers again
    And 10 s pass
    Then the head and its members have left
    And no order broke a rule

  Scenario: Whatever is lost, what is recorded serves or is ended once all has healed
    When hosts are lost, cut off, replaced and ordered late, and daemons start again
    Then no order breaks a rule, and once all has healed every replica serves or is ended
