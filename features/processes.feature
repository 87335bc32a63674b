Feature: Daemons as real processes

  @point9 @point6
  Scenario: A daemon that is told to stop cuts off no stream in flight
    Given two daemons before engines that give a token every 20 ms
    When one gets SIGTERM while it serves three streams and new calls go on coming
    Then its streams are whole, it exits with 0, and new calls are refused truthfully

  @point7
  Scenario: An order whose daemon is killed before its answer never runs twice
    Given two daemons before a service that takes a second for an order
    When one is killed while an order is being claimed, and one while an order runs
    And the same orders are sent again to the other daemon and to its new start
    Then no order ran twice, and the one that ran is not said to be free

  @point3 @point5
  Scenario: A daemon that is stopped for seconds keeps its share, and its peer goes on
    Given two daemons before engines that give a token every 20 ms
    When one gets SIGSTOP for four seconds while it serves its share and its peer is full
    Then its peer answers meanwhile, its streams are whole, and no engine fell over

  Scenario: A signal to reload that comes before a routed daemon has started ends nothing
    Given a routed daemon in a process that has just begun
    When it gets SIGHUP before it has started
    Then it starts all the same
