Feature: The listeners of a daemon

  Scenario: A connection whose request head comes too slowly is closed
    Given a listener that waits 0.3 s for the head of a request
    When a caller sends half a head and waits
    Then the connection is closed

  Scenario: A listener stays open until the daemon has drained
    Given a listener that waits 0.3 s for the head of a request
    When it is stopped before the daemon has drained
    Then it answers until then
