Feature: Figures that operators write cost nothing by their size

  # Guards against a choice whose time grows with the weights of a split route.
  Scenario Outline: A route split by <weights> divides its requests exactly, at any size
    Given a route with the weights <weights>
    When 20000 requests choose a service
    Then the services get the shares <shares>
    And the choices took less than 0.5 s

    Examples:
      | weights             | shares        |
      | 90 10               | 0.9 0.1       |
      | 900000 100000       | 0.9 0.1       |
      | 0.9 0.1             | 0.9 0.1       |
      | 9e17 1e17           | 0.9 0.1       |
      | 9e307 1e307         | 0.9 0.1       |
      | 1 0                 | 1.0 0.0       |
      | 3 -1                | 1.0 0.0       |
      | 1e18 1              | 1.0 0.0       |
      | 1 1 2               | 0.25 0.25 0.5 |

  # Guards against a share that counts only one of two weights of the same service.
  Scenario: The same service named twice gets the sum of its weights
    Given a configuration whose route names one service with 60 and 20, another with 20
    When 20000 requests choose a service
    Then the services get the shares 0.8 0.2

  # Guards against requests that change their service, or daemons that disagree.
  Scenario: A changed weight moves only requests from or to its service
    Given a route with the weights 50 30 20
    When 20000 requests choose a service
    And the weights become 50 30 40
    Then only requests to the third service have moved, about 0.13 of all

  # Guards against a hash that differs between processes or builds.
  Scenario: A request keeps its service in every process
    Given a route with the weights 50 30 20
    When 1 request with a known id chooses a service
    Then it is the third service

  # Guards against requests that wait for a service that no weight allows.
  Scenario: A route whose weights are all 0 rejects its requests at once
    Given a gateway site
    When version 5 sets the weights of a route to 0 0
    And a caller sends an idempotent request
    Then the caller receives status 503
    And the upstream received no request

  # Guards against figures of models that are divided by, or loops that never end.
  Scenario Outline: A configuration with <figure> neither stops nor delays formation
    Given a configuration with <figure>
    When the replicas of 12 hosts are planned
    Then the plan is ready within 1 s and has replicas of the sound model only

    Examples:
      | figure                   |
      | a model of 0 hosts       |
      | a model of -2 hosts      |
      | a model of 1e15 hosts    |
      | a share of -3            |
      | a share of 1e308         |
      | 0 loads at once          |
      | 9000000000000 at once       |

  # Guards against shares that are counted slot by slot.
  Scenario: A share of a very large limit is computed at once
    Given 5 members of which 2 are gone
    When each computes its share of a limit of 1000000000000
    Then the shares add up to it, within 1 s
