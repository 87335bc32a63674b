Feature: Isolation of plans and services from each other's faults

  Scenario Outline: The others keep their goodput and their time to first token
    Given a baseline of 120 s with three plans on one model and two services
    When the same calls run with <fault>
    Then the plans and services not at fault keep 95% of their goodput
    And their p99 to the first token is at most 1.5 times that of the baseline

    Examples:
      | fault      |
      | flood      |
      | black hole |
      | poison     |

  Scenario: Plans share a full target by weight, the earliest deadline first
    Given a target of 1 slot and waiting calls of a plan of weight 3 and one of 1
    When the slot is freed 8 times
    Then 6 calls of the first plan were dispatched, the earliest deadline first

  @point4 @point8
  Scenario: A queued call is refused when its target becomes unavailable
    Given a call that waits for a slot
    When every replica of its model becomes unavailable
    Then the waiting call is refused as no_replica within 0.1 s and was not run

  @point4 @point8
  Scenario: A queued call goes to a peer when its target becomes unavailable
    Given calls that wait for a slot of a model and of a service
    When both targets are available only at a peer of another failure domain
    Then both calls are answered by the peer

  Scenario: A call that can't meet its deadline is refused at once
    Given a busy target of 1 slot whose calls take 2 s
    When 3 calls with a deadline of 5 s arrive
    Then 2 of them are refused at once, not run, with Retry-After
