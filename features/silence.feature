Feature: A silent upstream is given up only for another one

  # Guards against answers that are lost seconds before their deadline (issue 30).
  Scenario Outline: A stream that cannot be moved outlives a pause <point>, as when <obstacle>
    Given a stream whose engine pauses for 2.5 s <point>
    When it is requested while <obstacle>
    Then it is whole, and <count> engines have run it
    And the log names the obstacle <name> once

    Examples:
      | point                  | obstacle                      | count | name           |
      | after 3 events         | its route allows one engine   | 1     | attempts       |
      | after 3 events         | a second engine is silent too | 2     | attempts       |
      | after 3 events         | the retry budget is spent     | 1     | retry_budget   |
      | after 3 events         | there is no other replica     | 1     | no_replica     |
      | after 3 events         | it may run only once          | 1     | not_repeatable |
      | before its first event | its route allows one engine   | 1     | attempts       |
      | before its first event | a second engine is silent too | 2     | attempts       |
      | before its first event | the retry budget is spent     | 1     | retry_budget   |
      | before its first event | there is no other replica     | 1     | no_replica     |
      | before its first event | it may run only once          | 1     | not_repeatable |

  # Guards against a silent engine holding a stream that another one could finish.
  Scenario Outline: A waiting stream moves to a replica that becomes available <point>
    Given a stream whose engine pauses for 5 s <point>
    When it is requested and another replica registers after 2 s
    Then it is whole, and 2 engines have run it
    And the answer took less than 2.5 s
    And 1 retry was spent

    Examples:
      | point                  |
      | after 3 events         |
      | before its first event |

  # Guards against retries that are paid for and not made.
  Scenario: A stream that waits at a silent engine spends no retry
    Given a stream whose engine pauses for 2.5 s after 3 events
    When it is requested while there is no other replica
    Then 0 retries were spent

  # Guards against a wait that never ends, and an abort that the log does not explain.
  Scenario: A stream whose engine stays silent is aborted at its deadline
    Given a stream whose engine pauses for 60 s after 3 events
    When it is requested while its route allows one engine
    Then it is aborted at its deadline of 6 s
    And the log line of the abort names the obstacle attempts

  Scenario: A stream whose engine stays silent before its first event ends at its deadline
    Given a stream whose engine pauses for 60 s before its first event
    When it is requested while its route allows one engine
    Then it is answered with status 504 at its deadline of 6 s

  # Guards against new requests at a silent engine while a stream waits for it.
  Scenario: A silent engine is excluded once while a stream waits for it
    Given a stream whose engine pauses for 0.7 s after 3 events
    When it is requested while its route allows one engine
    Then its engine was excluded once, until it sent data again

  # Guards against an engine that works for a caller who has left (GONE).
  Scenario Outline: The engine of a waiting stream is disconnected when its caller leaves <point>
    Given a stream whose engine pauses for 60 s <point>
    When it is requested and its caller leaves after 3 s
    Then its engine was disconnected at once

    Examples:
      | point                  |
      | after 3 events         |
      | before its first event |

  # Guards against streams that wait at an engine whose connection is lost.
  Scenario: A waiting stream is resumed when its connection is lost
    Given a stream whose engine pauses for 2 s and then loses its connection
    When it is requested while there is no other replica
    Then it is whole, and 1 engines have run it

  # Guards against idempotent requests that are answered 502 long before their deadline.
  Scenario Outline: A lookup that cannot be moved outlives a pause, as when <obstacle>
    Given a lookup whose host pauses for 5 s
    When it is requested while <obstacle>
    Then it has the host's answer, and 1 hosts have run it
    And the log names the obstacle <name> once

    Examples:
      | obstacle                    | name         |
      | the retry budget is spent   | retry_budget |
      | there is no other replica   | no_replica   |

  Scenario: A waiting lookup moves to a host that becomes available
    Given a lookup whose host pauses for 5.5 s
    When it is requested and another replica registers after 4 s
    Then it has the host's answer, and 2 hosts have run it
    And the answer took less than 4.5 s
    And 1 retry was spent

  # Guards against a head that stays excluded because one request still waits for it.
  Scenario: A waiting stream does not keep its head from being tested again
    Given a head whose exclusion has ended
    When the stream that tests it finds it silent and goes on waiting
    Then the head is excluded for 1 s and then gets another stream

  # Guards against answers of the own daemon that are lost long before their deadline.
  Scenario Outline: A call that cannot be moved outlives a pause of its engine, as when <obstacle>
    Given engines that pause for 8 s after 2 chunks
    When a call of 5 chunks is made while <obstacle>
    Then all its chunks have arrived, and <count> calls have reached the engines

    Examples:
      | obstacle                    | count |
      | it may be made only once    | 1     |
      | its second engine pauses too| 2     |
      | its retry budget is empty   | 1     |

  # Guards against retries beyond the retry budget (BUDGET).
  Scenario: Each further attempt of a lookup is paid for, also after a failure that was answered
    Given a lookup whose first host answers 500 and whose second one breaks off
    When it is requested and its route allows three hosts
    Then it has the host's answer, and 3 hosts have run it
    And 2 retries were spent

  # Guards against retries that are paid for when no time is left for them.
  Scenario: A lookup whose host stays silent ends at its deadline and spends no retry
    Given a lookup whose host pauses for 60 s
    When it is requested while there is no other replica
    Then it is answered with status 504 at its deadline of 6 s
    And 0 retries were spent
