Feature: Events of streams reach their caller once and in order

  # Guards against good events that are dropped with a bad one, and then missing for good:
  # the stream was resumed behind them (ORDER).
  Scenario Outline: Events before <fault> in the same read reach the caller
    When an engine sends 3 events and <fault> in one read
    Then the caller has received all 6 events once, in order
    And the next try went on after event 3

    Examples:
      | fault                          |
      | one that comes twice           |
      | one that goes back             |
      | one that is too long           |
      | line ends without end          |
      | half of one, and breaks off    |

  Scenario Outline: Events before <fault> in the same read reach a caller that can't resume
    Given a route whose streams may not be resumed
    When an engine sends 3 events and <fault> in one read
    Then the caller has received the first 3 events, and its response is aborted

    Examples:
      | fault                          |
      | one that comes twice           |
      | one that is too long           |
      | line ends without end          |

  # Guards against an event that comes twice: it has no id from which to resume.
  Scenario Outline: A stream that broke off after <event> is not resumed
    When an engine sends 3 events and <event>, and breaks off
    Then the caller has received these events once, and its response is aborted
    And the log has the obstacle "no_event_id"

    Examples:
      | event                          |
      | an event without an id         |
      | an event with an empty id      |
      | an event with a control byte   |
      | an event with a long id        |

  Scenario: A stream goes on behind events without an id once one with an id has followed
    When an engine sends 3 events, an event without an id and event 4, and breaks off
    Then the next try went on after event 4

  # Guards against ids that end their stream as an internal error.
  Scenario Outline: An event may have the id <name>
    When an engine sends an event with the id <name> between others
    Then the caller has received them once, in order

    Examples:
      | name                |
      | of a superscript    |
      | of 200 digits       |
      | of 5000 digits      |
      | of another alphabet |

  Scenario: However events are read and tries fail, callers get a prefix of the stream
    Then in 400 examples callers get a prefix of the stream, and all of it if it looks whole
