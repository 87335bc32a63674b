Feature: Losses of issue 30 that a review of its fix found

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
    When lines and final lines are logged, and it is flushed
    Then nothing is raised
