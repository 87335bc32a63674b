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
