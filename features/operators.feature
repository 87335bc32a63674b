Feature: Configuration changes by operators

  @point10
  Scenario: Processes converge on the configuration and are never rolled back
    When the configuration machine runs random examples
    Then every response was correct and no process was rolled back

  @point10
  Scenario Outline: A change is in force in every failure domain in time
    Given three failure domains with two processes each
    And <fault>
    When an operator applies lists
    Then the verdict is <verdict> with <pending> pending within 8 s
    And every process but <pending> has the lists in force

    Examples:
      | fault                                           | verdict  | pending |
      | nothing has failed                              | accepted | none    |
      | domain c cannot reach the log                   | accepted | none    |
      | domain c is isolated from the log and its peers | pending  | c       |
      | one process has restarted                       | accepted | none    |
      | two append responses will be lost               | accepted | none    |

  @point10
  Scenario: An accepted change stays in force through a log outage and restarts
    Given three failure domains with two processes each
    When an operator applies lists
    And the log becomes unavailable and the processes restart one by one
    And a process is offered an old checkpoint
    Then every process but none has the lists in force

  @point10
  Scenario: Of two concurrent changes the same one is accepted everywhere
    Given three failure domains with two processes each
    When operators at two processes apply different lists concurrently
    Then one is accepted, one rejected and every process has the accepted lists

  Scenario: A change whose outcome is unknown can be sent again
    Given three failure domains with two processes each
    And the log accepts appends but cannot be read
    When an operator applies lists
    Then the verdict is unknown
    When the log can be read and the change is sent to another process
    Then the change was applied once

  Scenario: A change is recognized by its id long after it was applied
    Given three failure domains with two processes each
    When an operator applies lists
    And more records follow than the journal's id window
    And the change is sent again
    Then the change was applied once

  Scenario: The same id with different lists is a different change
    Given three failure domains with two processes each
    When an operator applies lists
    And the operator applies different lists with the same id
    Then the second lists are in force
