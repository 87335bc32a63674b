Feature: The tool auburnctl

  Scenario Outline: Exit codes tell scripts what became of a command
    Given a daemon of domain a and the list files
    And <condition>
    When auburnctl <command> is run
    Then it exits with <code> and prints <text>

    Examples:
      | condition                         | command                             | code | text         |
      | nothing is wrong                  | check PLANS GRANTS                  | 0    | 1 plans      |
      | nothing is wrong                  | apply PLANS GRANTS                  | 0    | accepted     |
      | nothing is wrong                  | apply PLANS GRANTS --json           | 0    | "accepted"   |
      | nothing is wrong                  | diff PLANS GRANTS                   | 8    | works        |
      | nothing is wrong                  | show                                | 0    | version      |
      | nothing is wrong                  | status                              | 0    | h1 h2        |
      | nothing is wrong                  | report                              | 0    | group        |
      | nothing is wrong                  | out --domain a                      | 0    | accepted     |
      | nothing is wrong                  | out --domain z                      | 2    | no z         |
      | nothing is wrong                  | out --domain a --host h1            | 2    | either       |
      | the grants name an unknown plan   | apply PLANS GRANTS                  | 2    | unknown_plan |
      | the lists were changed meanwhile  | apply PLANS GRANTS --version 0      | 3    | stale        |
      | domain b does not answer          | apply PLANS GRANTS --wait 1         | 4    | in: b        |
      | the log answers no reads          | back --domain a --wait 2            | 5    | --id         |
      | no daemon listens                 | show                                | 6    | no daemon    |
      | the log is away                   | apply PLANS GRANTS                  | 7    | refused      |
      | the key is another one            | apply PLANS GRANTS                  | 9    | operator key |

  Scenario: One wait holds for all daemons together
    Given a daemon of domain a and the list files
    And the daemon has three addresses and its log answers no reads
    When auburnctl apply PLANS GRANTS --wait 1 is run
    Then it exits with 5 and prints --id
    And one daemon was sent the change

  Scenario: A digest admits the key that it was made from
    When the digest of a key is made
    Then a plan with the digest is found by the key's digest alone

  Scenario: A request's story is told from the logs of two daemons
    Given logs of two daemons that both had request q1
    When an operator runs auburnctl explain q1 on both
    Then the decisions on it are told in order, each with what was believed
    And nothing is told of other daemons, nor from before the process started
    And the line that is no JSON is counted

  Scenario: A request that no log names
    Given logs of two daemons that both had request q1
    When an operator runs auburnctl explain q7 on both
    Then it ends with exit code 10

  Scenario: Late and failed requests are added up over the logs of two daemons
    Given logs of two daemons that both have late streams
    When an operator runs auburnctl summary on both
    Then it ends with exit code 0
    And replica r7 of model large has 3 streams, 1 begun late and 1 with a long pause
    And the 2 s from 10 have 2 streams, 1 late, and 1 refusal for want of a slot
    And 4 lines were left out and 2 could not be read

  Scenario: A summary of logs that have no line of a daemon
    Given logs of two daemons that both have no line
    When an operator runs auburnctl summary on both
    Then it ends with exit code 10
