Feature: Quarantine of prompt parts that crash engines

  # Guards against parts that are tried again and again, or never again (BUDGET, issue 33).
  Scenario Outline: A blocked part is tried by one request of <daemons> daemons at a time
    Given <daemons> daemons that lose 0.05 of their datagrams
    And the part "dead" has been blocked after its requests ended 3 processes
    When a request with it arrives somewhere every 0.5 s for 75 s
    Then requests reach engines at most 3 times, and 10, 20 and 40 s apart or more

    Examples:
      | daemons |
      | 1       |
      | 6       |
      | 60      |

  # Guards against blocks that outlive what they were for (issue 33).
  Scenario: A part that no longer crashes engines is served again after one trial
    Given 6 daemons that lose 0.05 of their datagrams
    And the part "dead" has been blocked after its requests ended 3 processes
    When its requests are harmless from then on, and one arrives every 0.5 s for 20 s
    Then all daemons admit it within 4 s of the end of the block

  # Guards against a restarted daemon that lets blocked parts through (BUDGET, issue 33).
  Scenario: A daemon that has just started knows the blocked parts
    Given 6 daemons that lose 0.05 of their datagrams
    And the part "dead" has been blocked after its requests ended 3 processes
    When a daemon starts again
    Then it refuses the part within 2 s

  # Guards against sound callers who are refused for crashes with other causes (issue 33).
  Scenario Outline: A part is not blocked when <case>
    Given 6 daemons that lose 0.05 of their datagrams
    When processes end under requests with the part "busy", and <case>
    Then no daemon has blocked the part "busy"

    Examples:
      | case                                                |
      | other requests with it were answered just before    |
      | other requests with it are answered between crashes |
      | other requests with it are answered by one daemon   |
      | all of them are the same process                    |
      | all of them ended under one request                 |
      | its answer had begun 10 s before and another part has none |

  # Guards against other callers who are blocked with the part that they share (issue 33).
  Scenario: Of parts that are equally suspect only the last one is blocked
    Given 6 daemons that lose 0.05 of their datagrams
    When processes end under requests with the parts "first" and "dead", never answered
    Then all daemons have blocked the part "dead"
    And no daemon has blocked the part "first"

  # Guards against a part that all deadly requests share beside parts of their own.
  Scenario: A part that crashes engines beside any other one is blocked
    Given 6 daemons that lose 0.05 of their datagrams
    When processes end under requests with the part "dead" beside a new one each
    Then all daemons have blocked the part "dead"

  # Guards against memory that callers can make grow (issue 33).
  Scenario: Callers cannot make the memory of suspect parts grow
    Given 1 daemons that lose 0 of their datagrams
    When 20000 requests with 50 new parts each are answered or end a process
    Then the daemon holds at most 4096 answered parts and 512 crashes

  # Guards against blocks that an operator cannot lift (issue 33).
  Scenario: An operator lifts a block at any daemon
    Given 6 daemons that lose 0.05 of their datagrams
    And the part "dead" has been blocked after its requests ended 3 processes
    When an operator lifts the block of "dead" at one daemon
    Then all daemons admit it at once
