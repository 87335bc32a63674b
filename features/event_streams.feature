Feature: Events of streams, whatever bytes engines send

  # Guards against bytes of one stream that hold up all other requests: line ends counted
  # as events, each was copied with all before it, in one turn of the loop (CONFIG).
  Scenario Outline: The work in one turn of the loop does not grow with a read of <shape>
    When one read of a stream brings 32 kB and then 128 kB of <shape>
    Then the larger read takes at most 1.5 times the calls of the other in any turn

    Examples:
      | shape                |
      | numbered events      |
      | events without an id |
      | empty data fields    |
      | line ends            |
      | line ends of CRLF    |
      | mixed line ends      |
      | comments             |
      | id fields            |

  # Guards against tries that send bytes without an event for as long as they like.
  Scenario Outline: A try that sends <shape> without end is given up after <events> events
    When an engine sends <events> events and then <shape> without end
    Then the caller has received all 6 events once, in order
    And the try was given up after at most 70 kB of them
    And the log has the reason "no event in"

    Examples:
      | shape             | events |
      | line ends         | 0      |
      | line ends         | 3      |
      | line ends of CRLF | 3      |
      | mixed line ends   | 3      |
      | comments          | 0      |
      | comments          | 3      |
      | id fields         | 3      |

  Scenario Outline: An engine of a site that sends <shape> without end costs no caller its stream
    Given a gateway site
    And the first engine to receive a request runs the script flood of <shape>
    When a caller requests a stream
    Then the caller receives all 6 events in order

    Examples:
      | shape             |
      | line ends         |
      | line ends of CRLF |
      | comments          |
      | id fields         |

  # Guards against silent engines that are kept for their comments.
  Scenario Outline: An engine that sends <shape> now and then in place of events counts as silent
    When an engine sends 3 events and then <shape> every 0.05 s
    Then the caller has received all 6 events once, in order
    And no event came more than 0.6 s after the one before

    Examples:
      | shape             |
      | line ends         |
      | comments          |
      | id fields         |

  Scenario Outline: What an event is does not depend on how its bytes are read
    Then <bytes> are <events> events with the ids <ids>, however they are split

    Examples:
      | bytes                                | events | ids  |
      | id: 1\ndata: a\n\n                   | 1      | 1    |
      | id: 1\r\ndata: a\r\n\r\n             | 1      | 1    |
      | id: 1\rdata: a\r\r                   | 1      | 1    |
      | id: 1\ndata: a\n\n\n\nid: 2\ndata\n\n| 2      | 1,2  |
      | \n\r\n\rid:1\ndata: a\r\n\n          | 1      | 1    |
      | : note\n\nid: 1\ndata: a\n\n         | 1      | 1    |
      | id: 4\n\ndata: a\n\n                 | 1      | 4    |
      | id: 1\n\ndata: a\nid: 3\nid: 2\n\n   | 1      | 2    |
      | id: 1\nid: 2\x00\ndata: a\n\n        | 1      | 1    |
      | id: 1\nid\ndata: a\n\n               | 1      | -    |
      | data: a\nidea: 3\n\n                 | 1      | -    |
      | data: a\n: id: 3\n\n                 | 1      | -    |
      | id: \xff\ndata: a\n\n                | 1      | -    |
      | id:  4\ndata: a\n\n                  | 1      | -    |
      | database: a\n\n                      | 0      | -    |
      | id: 1\ndata: a\n                     | 0      | -    |

  # Guards against whole streams that count as broken off for what follows their last event.
  Scenario Outline: A stream that ends with <rest> is <outcome>
    When an engine sends 6 events and then <rest>, and ends its answer
    Then its stream counts as <outcome>

    Examples:
      | rest            | outcome    |
      | a line end      | complete   |
      | blank lines     | complete   |
      | a comment block | complete   |
      | half an event   | broken off |
