Feature: The journal

  Scenario: A record whose answer was lost is folded once
    Given two processes on one log
    When one of them proposes a record and its answer is lost twice
    Then both processes have folded the record once

  Scenario: One of two racing authors wins in every process
    Given two processes on one log
    When both propose a change of the same version
    Then one is accepted and both processes agree which

  Scenario: Processes agree with one list through every fault of the log
    When the journal machine is searched
    Then every state was the list folded in order and none went back

  Scenario: A copy that lands after its id was forgotten is rejected
    Given two processes on one log
    When a copy of an accepted record lands more than a window later
    Then both processes have folded the record once

  Scenario Outline: Whether a restoration is valid follows from the log alone
    When the log holds <log>
    Then the valid restorations are <valid>

    Examples: cN@D claims offset N, rN/K is part K of a restoration from N, p is a part
      | log                       | valid | why                                    |
      | c5 r5/1 r5/2              | r5    | nothing contests it                    |
      | c5 r5/1                   | none  | a part is missing                      |
      | c5 c5 c4 r5/1 r5/2        | r5    | equal and older claims contest nothing |
      | c5 c6 r5/1 r5/2           | none  | a newer state was claimed              |
      | c5 r5/1 c6 r5/2           | none  | a newer state was claimed in between   |
      | c5 r5/1 r5/2 c6           | r5    | the newer claim came too late          |
      | c5 r5/1 p r5/2            | none  | an ordinary checkpoint was written     |
      | c5 r5/1 r7/1 r7/2 r5/2    | none  | two restorations are mixed             |
      | c5 r5/1 r5/1 r5/2 r5/1    | r5    | a part may land again                  |
      | x c5 r5/1 r5/2            | r5    | other records do not matter            |
