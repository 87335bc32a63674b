Feature: Daemons as real processes

  @point9 @point6
  Scenario: A graceful shutdown completes all streams in flight
    Given two daemons with engines that generate a token every 20 ms
    When one gets SIGTERM while it serves three streams and new calls keep arriving
    Then its streams are complete, it exits with 0, and no call that it refused ran

  @point7
  Scenario: An order never runs twice when its daemon is killed before answering
    Given two daemons with a service that takes a second per order
    When a daemon is killed while an order is being claimed, and again while an order runs
    And the same orders are sent again to the other daemon and to the restarted one
    Then no order ran twice, and the one that ran is not reported as not executed

  @point3 @point5
  Scenario: A daemon that is suspended for seconds keeps its share, and its peer serves on
    Given two daemons with engines that generate a token every 20 ms
    When one gets SIGSTOP for four seconds while it serves its share and its peer is full
    Then its peer answers meanwhile, its streams are complete, and no engine is overloaded

  Scenario: SIGHUP before a gateway daemon has started does not end the process
    Given a gateway daemon in a process that was just started
    When it gets SIGHUP before it has started
    Then it starts nevertheless
