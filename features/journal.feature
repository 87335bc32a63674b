Feature: The journal

  Scenario: A record whose append response was lost is applied once
    Given two processes on one log
    When one of them proposes a record and two append responses are lost
    Then both processes have applied the record once

  Scenario: Of two conflicting proposals every process accepts the same one
    Given two processes on one log
    When both propose a change based on the same version
    Then one is accepted and both processes agree which

  Scenario: Every process matches the log applied in order under every fault of the log
    When the journal machine runs random examples
    Then every state matched the log applied in order and none was rolled back

  Scenario Outline: A seed that once found a fault finds none
    When the journal machine runs examples with seed <seed>
    Then every state matched the log applied in order and none was rolled back

    Examples: a process that never claimed its state
      | seed |
      | 9008 |

    Examples: diverged processes that had to restart
      | seed |
      | 9002 |

    Examples: an author that got the outcome of a late copy
      | seed |
      | 9011 |

  Scenario: An author that did not follow the log never gets a late copy's outcome
    Given four processes of the journal machine
    When 2 records are accepted, read by some but not by their author, and expire
    And a copy of the first is appended beyond the id window
    Then within 60 s the author gets the first outcome or none

  Scenario: A copy appended after its id was forgotten is rejected
    Given two processes on one log
    When a copy of an accepted record is appended beyond the id window
    Then both processes have applied the record once

  Scenario: Entries from a peer are applied only in order and without a gap
    Given two processes on one log
    When one of them is offered the first, the third and the second of 3 records
    Then it has applied the first and the second

  Scenario: A record with a malformed body is rejected and the next one applied
    Given two processes on one log
    When the log holds a malformed record, one of an unknown kind and a valid one
    Then both processes have applied the record once

  Scenario: A process that has read half of the log gets the rest from a peer
    Given two processes on one log
    When one has read a long log and the other loses the log half way
    Then the other becomes ready with its peer's state

  Scenario: A log that answers late counts as unavailable but is still read
    Given two processes on one log
    When one of them needs 6 s for each answer and the other proposes a record
    Then it reported the log as unavailable within 5 s
    And both processes have applied the record once

  Scenario: A checkpoint part is decoded as it was encoded
    When a checkpoint part is encoded in a frame
    Then the peer decodes the same part

  Scenario Outline: The log alone determines whether a restoration is valid
    When the log holds <log>
    Then the valid restorations are <valid>

    Examples: cN claims offset N, rN/K is part K of a restoration from N, p is a part of a regular checkpoint
      | log                       | valid | why                                    |
      | c5 r5/1 r5/2              | r5    | nothing contests it                    |
      | c5 r5/1                   | none  | a part is missing                      |
      | c5 c5 c4 r5/1 r5/2        | r5    | equal and older claims contest nothing |
      | c5 c6 r5/1 r5/2           | none  | a newer state was claimed              |
      | c5 r5/1 c6 r5/2           | none  | a newer state was claimed in between   |
      | c5 r5/1 r5/2 c6           | r5    | the newer claim came too late          |
      | c5 r5/1 p r5/2            | none  | a regular checkpoint was written       |
      | c5 r5/1 r7/1 r7/2 r5/2    | none  | two restorations are interleaved       |
      | c5 r5/1 r5/1 r5/2 r5/1    | r5    | a part may be appended twice           |
      | x c5 r5/1 r5/2            | r5    | other records do not matter            |

  Scenario Outline: Processes whose next records have expired recover the newest state
    Given three processes that have read <read> of 3 records before all 3 expired
    And process <away> cannot reach the log
    When the log is available for 10 minutes
    Then processes <follow> follow the log with <kept> of the records
    When process <away> is reconnected for 10 minutes
    Then processes <in the end> follow the log with <kept in the end> of the records

    Examples:
      | read  | away | follow | kept | in the end | kept in the end | why                         |
      | 3 3 3 | none | 0 1 2  | 3    | 0 1 2      | 3               | nothing is lost             |
      | 0 3 1 | none | 0 1 2  | 3    | 0 1 2      | 3               | one holds all and writes it |
      | 0 2 1 | none | 0 1 2  | 2    | 0 1 2      | 2               | the newest state wins       |
      | 0 3 1 | 0    | 1 2    | 3    | 0 1 2      | 3               | the log has a checkpoint    |
      | 1 0 2 | 2    | none   | 0    | 0 1 2      | 2               | a domain has not claimed    |

  Scenario Outline: A process that applied records declared lost stops and keeps its state
    Given three processes that have read <read> of 3 records before all 3 expired
    And process 2 cannot reach the log
    And no claim is required from the failure domain of 2
    When the log is available for 10 minutes
    Then processes 0 1 follow the log with 1 of the records
    When process 2 is reconnected for 10 minutes
    Then process 2 keeps <read by 2> of the records, reports divergence and rejects states

    Examples:
      | read  | read by 2 |
      | 0 1 2 | 2         |
      | 0 1 3 | 3         |

  Scenario: A process claims nothing while a restoration cannot be validated
    Given three processes that have read 1 1 1 of 3 records before all 3 expired
    And the log retains a restoration whose opening claim has expired
    When the log is available for 10 minutes
    Then processes none follow the log with 0 of the records
    And no process has appended a claim
    When the restoration has expired as well
    Then processes 0 1 2 follow the log with 1 of the records
