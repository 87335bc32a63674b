Feature: Answers outlive pauses of engines, refusals and the reader of the log

  # Guards against a live engine that is given up for one which does not take the request.
  Scenario Outline: A request outlives a pause of its engine though others refuse it
    Given a <kind> whose engine pauses for <pause> s and whose others refuse with 503
    When it is requested while its route allows <engines> engines
    Then the caller gets the whole answer

    Examples:
      | kind   | pause | engines |
      | stream | 1     | 2       |
      | lookup | 4     | 2       |

  # Guards against a reader of the log that ends before the daemon and keeps it from
  # answering and from its exit.
  Scenario: A stop goes on when the reader of the log has ended
    Given a decision log whose reader has ended
    When lines are logged before a stop and during it, and it is flushed
    Then nothing is raised

  # Guards against answers of the own daemon that end though nothing can finish them.
  Scenario: A call outlives a pause of the only engine
    Given one engine that pauses for 8 s after 2 chunks
    When a call of 5 chunks is made to it
    Then the call has all chunks

  # Guards against responses of HTTP/1.0 that look complete when they are aborted (ORDER).
  Scenario: A caller of HTTP/1.0 can tell that a stream was aborted
    Given a gateway daemon whose caller speaks HTTP/1.0
    When a stream of 8 s is requested with a deadline of 1 s
    Then its connection is reset
