Feature: Where requests go, who is refused and when callers return

  Scenario: Requests spread over replicas, near ones first (uneven load)
    Given 3 near and 3 far replicas of 9 slots
    When 36 requests come one after the other and stay
    Then no replica has more than 8 of them
    And the near ones have at least half of them

  Scenario: A request goes past a replica that reads a prompt (prompts hold streams up)
    Given 2 near and 0 far replicas of 9 slots
    And one near replica has a request without its first event
    And the other near replica has 2 streams that have begun
    When 1 request comes
    Then it goes to the other near replica

  Scenario: What other daemons run counts (blind spreading fills one replica)
    Given 2 near and 0 far replicas of 9 slots
    And other daemons have 8 requests at the first replica
    When 7 requests come one after the other and stay
    Then the first replica has none of them

  Scenario: A full model is refused at once, with different times to come back (herds)
    Given 2 near and 0 far replicas of 9 slots
    When 40 requests come one after the other and stay
    Then 18 to 22 are taken and the others are refused with no_slot
    And the times to come back differ and are within 0.5 and 2 s

  Scenario: A replica over two fabric domains helps out where the others are busy
    Given 2 near and 0 far replicas of 9 slots
    And the second one has hosts in two fabric domains, which makes it 3 times as slow
    When 2 requests come one after the other and stay
    Then the second replica has 0 of them
    When 20 requests come one after the other and stay
    Then the second replica has 3 to 4 of them

  Scenario: A silent head gets nothing, then one request at a time (a dead group looks alive)
    Given 1 near and 0 far replicas of 9 slots
    When its head falls silent towards all streams
    Then requests are refused with no_replica
    When its pause ends and a probe is answered
    Then one request is taken, and another only after its first event

  Scenario: A stream that has begun goes on at a far head before one that is left out
    Given 1 near and 1 far replicas of 9 slots
    When its head falls silent towards all streams
    Then a stream that has begun goes on at the far head
    And at the near one only if the far one has failed it

  Scenario: A head whose process does not answer stays out
    Given 1 near and 0 far replicas of 9 slots
    When its head falls silent towards all streams
    And its pause ends and no probe is answered
    Then requests are refused with no_replica

  Scenario: A probe that this daemon slept through proves nothing (a frozen process)
    Given 1 near and 0 far replicas of 9 slots
    When its head falls silent towards all streams
    And its pause ends and this daemon stands still for 0.6 s during the probe
    Then its head counts as one that answers

  Scenario: A head that others hear is not taken for silent
    Given 1 near and 0 far replicas of 9 slots
    And another daemon has just heard its head
    When one of its streams gets nothing for 0.3 s
    Then requests are taken

  Scenario: A cold upstream's bound is divided between the daemons (cold return)
    Given 1 near and 0 far replicas of 99 slots that are cold
    And 6 daemons share the bound of 36 requests a second
    When 20 requests come in one second
    Then 6 of them are taken

  Scenario: A daemon that does not know the others sends a cold upstream nothing (a restart)
    Given 1 near and 0 far replicas of 99 slots that are cold
    And 0 daemons share the bound of 36 requests a second
    When 20 requests come in one second
    Then 0 of them are taken

  Scenario: A daemon that does not know the others resends what its requests earn (a restart)
    Given a bound of 0.2 resends a request and 100 beside for 0 daemons
    When 100 requests are sent in 5 s and as many resends are asked for
    Then 16 resends are made

  Scenario: A daemon that starts anew may have resent before (a restart)
    Given a bound of 0.2 resends a request and 100 beside for 10 daemons
    And the whole slack may be used 10 s after its start
    When 100 requests are sent in 5 s and as many resends are asked for
    Then 18 resends are made
    And 8 are left 15 s later

  Scenario: Resends stay within this daemon's part of the bound (retry storms)
    Given a bound of 0.2 resends a request and 100 beside for 10 daemons
    When 100 requests are sent in 5 s and as many resends are asked for
    Then 24 resends are made
    And none are left until the window has passed

  Scenario: Hosts that lapse around an outage of the store are kept for a while
    Given a directory with a host while the store is away
    When the host's registration lapses
    Then the host is kept for 2 s after the store is back
    And it is gone 3 s after the store is back

  Scenario: A host that lapsed gets nothing once it may have left (a quiet departure)
    Given a directory in which lapsed hosts are used for 1.2 s
    When the store is back for 1.5 s and the host's registration lapses
    Then the host may be used 1.1 s later
    And it may not be used 1.3 s later
    But its part in a replica is still known then
    And it may be used again once it has registered

  Scenario: Hosts that lapse together around an outage of the store stay in use
    Given a directory in which lapsed hosts are used for 1.2 s
    When the store is back for 1.5 s and the registrations of all hosts lapse
    Then the host may be used 1.3 s later
