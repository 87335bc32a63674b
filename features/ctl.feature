Feature: The command line tool auburnctl

  Scenario Outline: The exit code and output show the outcome of a command
    Given a daemon in failure domain a and valid list files
    And <condition>
    When auburnctl <command> is run
    Then it exits with <code> and prints <text>

    Examples:
      | condition                         | command                             | code | text         |
      | the files are unchanged           | check PLANS GRANTS                  | 0    | 1 plans      |
      | the files are unchanged           | apply PLANS GRANTS                  | 0    | accepted     |
      | the files are unchanged           | apply PLANS GRANTS --json           | 0    | "accepted"   |
      | the files are unchanged           | diff PLANS GRANTS                   | 8    | works        |
      | the files are unchanged           | show                                | 0    | version      |
      | the files are unchanged           | status                              | 0    | h1 h2        |
      | the files are unchanged           | report                              | 0    | group        |
      | the files are unchanged           | out --domain a                      | 0    | accepted     |
      | the files are unchanged           | out --domain z                      | 2    | no z         |
      | the files are unchanged           | out --domain a --host h1            | 2    | either       |
      | the grants name an unknown plan   | apply PLANS GRANTS                  | 2    | unknown_plan |
      | another change was made first     | apply PLANS GRANTS --version 0      | 3    | stale        |
      | domain b does not confirm changes | apply PLANS GRANTS --wait 1         | 4    | in: b        |
      | the log does not respond to reads | back --domain a --wait 2            | 5    | --id         |
      | no daemon is listening            | show                                | 6    | no daemon    |
      | the log is unreachable            | apply PLANS GRANTS                  | 7    | refused      |
      | the operator key is wrong         | apply PLANS GRANTS                  | 9    | operator key |

  Scenario: The wait of a command covers all daemons together
    Given a daemon in failure domain a and valid list files
    And the daemon is listed three times and its log does not respond to reads
    When auburnctl apply PLANS GRANTS --wait 1 is run
    Then it exits with 5 and prints --id
    And the change was sent only once

  Scenario: A plan is found by the digest of its key
    When auburnctl digest is run with a key
    Then a plan with the printed digest is found by that key and by no other

  Scenario: The history of a request is collected from the logs of two daemons
    Given logs of two daemons that both handled request q1
    When auburnctl explain q1 is run on both logs
    Then the decisions about it are printed in order, each with its relevant beliefs
    And no belief about other daemons or from before the process started is printed
    And the line that is not JSON is counted

  Scenario: Explaining a request that no log line names
    Given logs of two daemons that both handled request q1
    When auburnctl explain q7 is run on both logs
    Then its exit code is 10

  Scenario: Late and failed requests are counted over the logs of two daemons
    Given logs of two daemons that both contain late streams
    When auburnctl summary is run on both logs
    Then its exit code is 0
    And replica r7 of model large has 3 streams, 1 starting late and 1 with a long pause
    And the 2 s span at 10 has 2 streams, 1 of them late, and 1 refusal for lack of a slot
    And 4 lines are counted as omitted and 2 as unreadable

  Scenario: Summarizing logs without any line of a daemon
    Given logs of two daemons without any line of a daemon
    When auburnctl summary is run on both logs
    Then its exit code is 10
