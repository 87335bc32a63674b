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

  Scenario Outline: A seed that found a fault finds none
    When the journal machine is searched with seed <seed>
    Then every state was the list folded in order and none went back

    Examples: a state that never claimed
      | seed |
      | 9008 |

    Examples: overruled processes that had to start anew
      | seed |
      | 9002 |

    Examples: an author that was told of a late copy
      | seed |
      | 9011 |

  Scenario: An author that did not follow is not told the outcome of a late copy
    Given four processes of the journal machine
    When 2 records are accepted, read by some, not by their author, and expire
    And a copy of the first lands more than a window later
    Then in the next 60 s the author is told the first outcome or none

  Scenario: A copy that lands after its id was forgotten is rejected
    Given two processes on one log
    When a copy of an accepted record lands more than a window later
    Then both processes have folded the record once

  Scenario: Entries from a peer are folded only in order and without a gap
    Given two processes on one log
    When one of them is offered the first, the third and the second of 3 records
    Then it has folded the first and the second

  Scenario: A record with a malformed body is rejected and the next one folded
    Given two processes on one log
    When the log holds a malformed record, one of an unknown kind and a good one
    Then both processes have folded the record once

  Scenario: A process that had read half of the log takes the rest from a peer
    Given two processes on one log
    When one has read a long log and the other is cut off half way
    Then the other becomes ready with the state of its peer

  Scenario: A log that answers late counts as away meanwhile, and is read all the same
    Given two processes on one log
    When one of them needs 6 s for each answer and the other proposes a record
    Then it counted the log as away within 5 s
    And both processes have folded the record once

  Scenario: A peer gets a checkpoint as it was sent
    When a piece of a checkpoint is sent in a frame
    Then the peer reads the same piece

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

  Scenario Outline: Processes that the log's retention has overtaken find the newest state
    Given three processes that have read <read> of 3 records before all of them expired
    And <away> is cut off
    When the log answers for 10 minutes
    Then <follow> follow the log with <kept> of the records
    When <away> is connected again for 10 minutes
    Then <in the end> follow the log with <kept in the end> of the records

    Examples:
      | read  | away | follow | kept | in the end | kept in the end | why                         |
      | 3 3 3 | none | 0 1 2  | 3    | 0 1 2      | 3               | nothing is lost             |
      | 0 3 1 | none | 0 1 2  | 3    | 0 1 2      | 3               | one holds all and writes it |
      | 0 2 1 | none | 0 1 2  | 2    | 0 1 2      | 2               | the newest state wins       |
      | 0 3 1 | 0    | 1 2    | 3    | 0 1 2      | 3               | the log has a checkpoint    |
      | 1 0 2 | 2    | none   | 0    | 0 1 2      | 2               | a domain has not claimed    |

  Scenario Outline: A process with records that were given up stops and goes back on nothing
    Given three processes that have read <read> of 3 records before all of them expired
    And 2 is cut off
    And nobody waits for the failure domain of 2
    When the log answers for 10 minutes
    Then 0 1 follow the log with 1 of the records
    When 2 is connected again for 10 minutes
    Then 2 keeps <read by 2> of the records, says so and takes no other state

    Examples:
      | read  | read by 2 |
      | 0 1 2 | 2         |
      | 0 1 3 | 3         |

  Scenario: A process claims nothing while a restoration cannot be judged
    Given three processes that have read 1 1 1 of 3 records before all of them expired
    And the log still holds a restoration whose claim has expired
    When the log answers for 10 minutes
    Then none follow the log with 0 of the records
    And no process has claimed
    When the restoration has expired too
    Then 0 1 2 follow the log with 1 of the records
