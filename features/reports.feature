Feature: Report sharing among daemons

  @point1 @point8
  Scenario: The age of a relayed report is never underestimated
    When pollers, links and hosts fail at random
    Then no daemon keeps using an expired report

  @point1
  Scenario: The age of a frame is bounded independently of clock offset and drift
    When frames of two clocks are delayed at random
    Then the age of no frame is underestimated

  Scenario Outline: The hosts of a frozen daemon are polled by others before their reports expire
    Given <count> pollers of 16 hosts
    When poller 0 is frozen
    Then the other pollers have unexpired reports of all hosts for 6 seconds

    Examples:
      | count |
      | 4     |
      | 14    |

  Scenario: An isolated daemon polls all hosts itself
    Given 4 pollers of 8 hosts
    When poller 0 is partitioned from the others
    Then all pollers have unexpired reports of all hosts for 6 seconds

  Scenario: A daemon that can reach a host has its reports
    Given 4 pollers of 8 hosts
    When only the lowest-ranked poller of host "h0" can reach it
    And 8 seconds pass for the daemons
    Then only that daemon has an unexpired report of "h0"

  @point8
  Scenario: Every daemon learns that a host is leaving with the next poll of its poller
    Given 4 pollers of 8 hosts
    When host "h0" starts leaving
    And 1 seconds pass for the daemons
    Then "h0" is not usable at any daemon

  Scenario: A refused connection is shared immediately
    Given 4 pollers of 8 hosts
    When host "h0" crashes
    And 1 seconds pass for the daemons
    Then "h0" is not usable at any daemon

  Scenario: Prompt prefixes reach every daemon in several updates
    Given 4 pollers of 8 hosts
    When each host has cached 40 new prompt prefixes
    And 20 seconds pass for the daemons
    Then every daemon knows all prompt prefixes

  @point1
  Scenario: The event loop's clock never runs ahead of the monotonic clock
    When the event loop is blocked for 0.3 seconds
    Then its clock is between the readings of the monotonic clock before and after

  @point1
  Scenario: A newer load is never combined with an older report of its host
    Given 2 pollers of 8 hosts
    When every host restarts while a link drops frames
    Then each stored report is one that its host sent
