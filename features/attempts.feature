Feature: Limit on the engines that one stream may run on

  Scenario Outline: A stream runs on no more live engines than allowed when <fate> (BUDGET)
    Given a route that allows 2 engines, and 2 heads that stall
    When a stream is requested and, at each head that stalls, <fate>
    Then at most 2 live engines have run it
    And its answer never looks complete

    Examples:
      | fate                                   |
      | its registration lapses                |
      | its registration lapses and is renewed |
      | its replica is dissolved               |
      | one probe times out                    |
      | its probes are answered too late       |
      | this daemon is stalled                 |
      | this daemon has no descriptors         |
      | it sends to another daemon             |
      | its process had already restarted      |

  Scenario Outline: A stream is resumed elsewhere when engines have ended, as when <fate>
    Given a route that allows 2 engines, and 2 heads that stall
    When a stream is requested and, at each head that stalls, <fate>
    Then it is whole and in order, and 3 engines have run it
    And its caller has not waited 1.8 s for an event

    Examples:
      | fate             |
      | its process ends |
      | its host fails   |

  Scenario: A head that was tried twice and has ended uses no attempt
    Given a route that allows 2 engines, and one head that stalls twice
    When a stream is requested and, at each head that stalls, its host fails
    Then it is whole and in order, and 1 engines have run it

  Scenario: A head that was tried twice and is alive uses all attempts
    Given a route that allows 2 engines, and one head that stalls twice
    When a stream is requested and, at each head that stalls, its replica is dissolved
    Then its answer never looks complete

  Scenario Outline: What one connection shows about a process that <state>
    Given an engine that <state>
    When the platform adapter requests its report
    Then it shows that the process <verdict>

    Examples:
      | state                  | verdict      |
      | runs                   | lives        |
      | has ended              | ended        |
      | has restarted          | lives        |
      | accepts no connection  | is unreached |
      | answers nothing        | lives        |
      | answers something else | lives        |
