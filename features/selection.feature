Feature: Upstream selection, refusals and Retry-After

  Scenario: Requests spread over replicas, near ones first (uneven load)
    Given 3 near and 3 far replicas of 9 slots
    When 36 requests come one after the other and stay
    Then no replica has more than 8 of them
    And the near ones have at least half of them

  Scenario: A request avoids a replica in prefill (prefill stalls the other streams)
    Given 2 near and 0 far replicas of 9 slots
    And one near replica has a request without its first event
    And the other near replica has 2 streams that have begun
    When 1 request comes
    Then it goes to the other near replica

  Scenario: Requests of other daemons count (else all daemons fill the same replica)
    Given 2 near and 0 far replicas of 9 slots
    And other daemons have 8 requests at the first replica
    When 7 requests come one after the other and stay
    Then the first replica has none of them

  Scenario: Requests for a full model are refused at once, with jitter in Retry-After (herds)
    Given 2 near and 0 far replicas of 9 slots
    When 40 requests come one after the other and stay
    Then 18 to 22 are taken and the others are refused with no_slot
    And the Retry-After values differ and are within 0.5 and 2 s

  Scenario: A replica over two fabric domains takes overflow while the others are busy
    Given 2 near and 0 far replicas of 9 slots
    And the second one has hosts in two fabric domains, which makes it 3 times as slow
    When 2 requests come one after the other and stay
    Then the second replica has 0 of them
    When 20 requests come one after the other and stay
    Then the second replica has 3 to 4 of them

  Scenario: A silent head is excluded, then tested by one request (a dead replica looks alive)
    Given 1 near and 0 far replicas of 9 slots
    When its head falls silent on all streams
    Then requests are refused with no_replica
    When its exclusion ends and a probe is answered
    Then one request is taken, and another only after its first event

  Scenario: A stream that has begun resumes at a far head rather than at an excluded one
    Given 1 near and 1 far replicas of 9 slots
    When its head falls silent on all streams
    Then a stream that has begun resumes at the far head
    And at the near one only if it has failed at the far one

  Scenario: A head whose process answers no probe stays excluded
    Given 1 near and 0 far replicas of 9 slots
    When its head falls silent on all streams
    And its exclusion ends and no probe is answered
    Then requests are refused with no_replica

  Scenario: A probe during which this daemon was stalled excludes nothing (a frozen process)
    Given 1 near and 0 far replicas of 9 slots
    When its head falls silent on all streams
    And its exclusion ends and this daemon is stalled for 0.6 s during the probe
    Then its head is not excluded

  Scenario: A head that sends data to other daemons does not count as silent
    Given 1 near and 0 far replicas of 9 slots
    And another daemon has just received data from its head
    When one of its streams receives nothing for 0.3 s
    Then requests are taken

  Scenario: A cold upstream's rate limit is divided among the daemons (cold restart)
    Given 1 near and 0 far replicas of 99 slots that are cold
    And 6 daemons share the limit of 36 requests a second
    When 20 requests come in one second
    Then 6 of them are taken

  Scenario: A daemon that does not know its peers sends a cold upstream nothing (a restart)
    Given 1 near and 0 far replicas of 99 slots that are cold
    And 0 daemons share the limit of 36 requests a second
    When 20 requests come in one second
    Then 0 of them are taken

  # Guards against quotas of named limits that are forgotten at each selection (issue 33).
  Scenario Outline: A named limit of <limit> a second is divided among the daemons
    Given 1 near and 0 far replicas of 99 slots
    And the head has named a limit of <limit> a second to 6 daemons
    When 20 requests come in one second
    Then <count> of them are taken

    Examples:
      | limit | count |
      | 36    | 6     |
      | 12    | 2     |

  Scenario: A daemon that does not know its peers retries only what its requests earn (a restart)
    Given a retry budget of 0.2 per request and a slack of 100 for 0 daemons
    When 100 requests are sent in 5 s and as many retries are asked for
    Then 16 retries are allowed

  Scenario: A restarted daemon uses part of its slack, as it may have retried before (a restart)
    Given a retry budget of 0.2 per request and a slack of 100 for 10 daemons
    And the full slack may be used 10 s after its start
    When 100 requests are sent in 5 s and as many retries are asked for
    Then 18 retries are allowed
    And 8 are left 15 s later

  Scenario: Retries stay within this daemon's share of the budget (retry storms)
    Given a retry budget of 0.2 per request and a slack of 100 for 10 daemons
    When 100 requests are sent in 5 s and as many retries are asked for
    Then 24 retries are allowed
    And none are left until the window has passed

  Scenario: Hosts whose registration lapses around a store outage are kept for a while
    Given a directory with a host while the store is unavailable
    When the host's registration lapses
    Then the host is kept for 2 s after the store is back
    And it is gone 3 s after the store is back

  Scenario: A lapsed host gets nothing once it may have left (a departure without notice)
    Given a directory in which lapsed hosts are used for 1.2 s
    When the store is back for 1.5 s and the host's registration lapses
    Then the host may be used 1.1 s later
    And it may not be used 1.3 s later
    But its replica membership is still known then
    And it may be used again once it has registered again

  Scenario: Hosts that lapse together around a store outage stay in use
    Given a directory in which lapsed hosts are used for 1.2 s
    When the store is back for 1.5 s and the registrations of all hosts lapse
    Then the host may be used 1.3 s later
