Feature: Operators' changes

  @point10
  Scenario: Processes agree on the configuration and never go back
    When the configuration machine is searched
    Then every answer was true and no process went back

  @point10
  Scenario Outline: A change is in force in every failure domain in time
    Given three failure domains with two processes each
    And <fault>
    When an operator applies lists
    Then the answer is <verdict> without <pending> within 8 s
    And every process but <pending> has the lists in force

    Examples:
      | fault                                 | verdict  | pending |
      | nothing has failed                    | accepted | none    |
      | domain c is cut from the log          | accepted | none    |
      | domain c is cut from everything       | pending  | c       |
      | one process has started anew          | accepted | none    |
      | two answers of the log will be lost   | accepted | none    |

  @point10
  Scenario: An accepted change stays in force through an outage and new starts
    Given three failure domains with two processes each
    When an operator applies lists
    And the log goes away and the processes start anew one after another
    And a process is offered an old checkpoint
    Then every process but none has the lists in force

  @point10
  Scenario: Racing operators have one winner everywhere
    Given three failure domains with two processes each
    When operators at two processes apply different lists at once
    Then one is accepted, one is rejected and every process has the winner's lists

  Scenario: A change whose outcome is unknown can be sent again
    Given three failure domains with two processes each
    And the log takes appends but cannot be read
    When an operator applies lists
    Then the answer is unknown
    When the log can be read and the change is sent to another process
    Then the change was made once

  Scenario: A change is known by its id long after it was made
    Given three failure domains with two processes each
    When an operator applies lists
    And more records follow than the journal remembers ids for
    And the change is sent again
    Then the change was made once

  Scenario: The same id with other lists is another change
    Given three failure domains with two processes each
    When an operator applies lists
    And the operator applies other lists under the same id
    Then the second lists are in force
