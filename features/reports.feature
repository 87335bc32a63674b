Feature: Daemons that share the reports of upstreams

  @point1 @point8
  Scenario: A relayed report is never taken for younger than it is
    When pollers, links and hosts fail at random
    Then no report is held for fresh beyond its time

  @point1
  Scenario: The age of a frame is bounded whatever two clocks show
    When frames of two clocks are delayed at random
    Then none counts as younger than it is

  Scenario Outline: A frozen daemon's hosts are covered before their reports go stale
    Given <count> pollers of 16 hosts
    When poller 0 is frozen
    Then the others hold fresh reports of all hosts for 6 seconds

    Examples:
      | count |
      | 4     |
      | 14    |

  Scenario: A daemon that is cut off polls all hosts itself
    Given 4 pollers of 8 hosts
    When poller 0 is cut off from the others
    Then all hold fresh reports of all hosts for 6 seconds

  Scenario: A host is known to whoever can reach it
    Given 4 pollers of 8 hosts
    When all but the last poller of host "h0" are walled off from it
    And 8 seconds pass at the pollers
    Then only that daemon holds a fresh report of "h0"

  @point8
  Scenario: Leaving is known at every daemon with the poller's next poll
    Given 4 pollers of 8 hosts
    When host "h0" leaves
    And 1 seconds pass at the pollers
    Then no daemon gives "h0" new work

  Scenario: A refused connection is told at once
    Given 4 pollers of 8 hosts
    When host "h0" dies
    And 1 seconds pass at the pollers
    Then no daemon gives "h0" new work

  Scenario: Prompt prefixes reach every daemon, a few at a time
    Given 4 pollers of 8 hosts
    When each host has cached 40 new prompt prefixes
    And 20 seconds pass at the pollers
    Then every daemon knows all prompt prefixes

  @point1
  Scenario: The loop's clock never runs ahead of the machine's
    When the loop of the daemon is held up for 0.3 seconds
    Then its clock stands between the machine's at both ends

  @point1
  Scenario: A load is never put under an older report of its host
    Given 2 pollers of 8 hosts
    When every host restarts while the frames of a link are lost
    Then each report that is held is one that its host made
