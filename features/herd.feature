Feature: Selection by hundreds of daemons with unequal shares of the requests

  Scenario: Heads share the load, and none is refused while slots are free (uneven load)
    Given 195 daemons in 5 failure domains with 30 heads of 7 slots in each
    When they send requests for 6 s that fill 0.6 of the slots
    Then no request is refused while a slot is free
    And at most 1 in 100 requests meets a full head while its daemon has others free

  Scenario: No head is over its slots while another is free (herds on what looked empty)
    Given 195 daemons in 5 failure domains with 30 heads of 7 slots in each
    When they send requests for 6 s that fill 0.6 of the slots
    Then no request is placed beyond a head's slots while another head has a free one

  Scenario: A cold head's rate limit holds for all daemons together (cold restart)
    Given 195 daemons in 5 failure domains with 2 cold heads of 99 slots in each
    When they send requests for 3 s at 800 a second
    Then no head gets more than 36 requests in any second

  Scenario: A lost head stops getting requests from all daemons (a dead replica looks alive)
    Given 195 daemons in 5 failure domains with 30 heads of 7 slots in each
    When they send requests for 3 s that fill 0.6 of the slots
    And a head is lost, and requests go on for 3 s
    Then it gets none later than 0.3 s after the first daemon has noticed

  Scenario: A failure domain without half of its heads spills over to others (lost hosts)
    Given 195 daemons in 5 failure domains with 30 heads of 7 slots in each
    And 16 heads of the first failure domain have been dissolved
    When they send requests for 6 s that fill 0.6 of the slots
    Then the remaining heads there have at most 0.9 of their slots filled on average
    And no request is refused while a slot is free

  Scenario: Heads are reassigned when a daemon is replaced
    Given 4 daemons that are assigned 20 heads
    When one of them is replaced by another
    Then no head is assigned to the one that is gone
    And the new one is assigned 6 heads

  Scenario: A daemon's messages grow with its requests, not with the fleet
    Given 195 daemons in 5 failure domains with 30 heads of 7 slots in each
    When they send requests for 3 s that fill 0.6 of the slots
    Then each request is announced to at most 40 daemons on average
