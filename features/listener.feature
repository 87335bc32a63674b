Feature: The listeners of a daemon

  Scenario: A connection is closed when its request head arrives too slowly
    Given a listener with a timeout of 0.3 s for request heads
    When a caller sends half a request head and waits
    Then the connection is closed

  Scenario: A listener stays open until the daemon has drained
    Given a listener with a timeout of 0.3 s for request heads
    When it is stopped before the daemon has drained
    Then it serves requests until then
