Feature: A store that is restored from an older copy

  Scenario: Reading continues after offsets have been assigned again
    Given a daemon that has read 5 records of a topic
    When the store is restored without the last 3 of them
    And a record is written each second for 4 s
    Then the daemon holds every record that was written since
    And no loss of records was logged

  Scenario: No daemon reverts to an older configuration
    Given a daemon that has read versions 1 to 5 of a configuration
    When the store is restored without the last 3 of them
    Then version 5 is in force
    When the operator writes version 5 again
    Then version 5 is in force
    And no version was put in force twice
    When the operator writes version 6
    Then version 6 is in force

  Scenario: A daemon that has read only the newest version does not revert either
    Given a daemon that has read only version 5 of a configuration
    When the store is restored without the last 3 of them
    Then version 5 is in force

  Scenario: A removed mark stays removed, and one that was set stays set
    Given a daemon that has read a mark of domain a, its removal, and a mark of domain b
    When the store is restored without the last 2 of them
    Then domain a is in service and domain b is out
    When the operator removes the mark of domain b
    Then domain a is in service and domain b is in service

  Scenario: A mark that is set right after the restore takes effect
    Given a daemon that has read a mark of domain a, its removal, and a mark of domain b
    When the store is restored without the last 2 of them
    And the operator marks domain c before the daemon reads again
    Then domain c is out

  Scenario: Registrations that the store lost expire, and older ones change nothing
    Given a daemon that has read registrations of u1, u2, and u1 in another state
    When the store is restored without the last 2 of them
    Then u1 is registered in its last state
    And the registration of u2 has expired
    When u2 registers again
    Then u2 is registered

  Scenario: A daemon that starts after the restore learns from its peers
    Given a daemon that has read versions 1 to 5 of a configuration
    When the store is restored without the last 3 of them
    And another daemon starts and both exchange their read positions
    Then version 5 is in force at the other daemon

  Scenario: A daemon that was behind learns what its peers had read
    Given a daemon that has read versions 1 to 5 of a configuration
    And another daemon that had last read version 4
    When the store is restored without the last 3 of them
    And both exchange their read positions
    Then version 5 is in force at the other daemon

  Scenario: A daemon that cannot read the store learns the era from a peer
    Given a daemon that has read versions 1 to 5 of a configuration
    And another daemon that had last read version 4
    And the store rejects the other daemon
    When the store is restored without the last 3 of them
    And both exchange their read positions
    And the operator writes version 6
    And both exchange their read positions
    Then version 6 is in force at the other daemon

  Scenario: A late response of the previous era changes nothing
    Given a daemon that has read versions 1 to 5 of a configuration
    When its next read is answered only after a peer has reported a new era
    Then nothing of that response is applied

  Scenario Outline: An invalid era changes nothing
    Given a daemon that knows era 4 of the store
    When a response contains the era <text>
    Then the daemon knows era 4
    And that is logged once in 3 responses

    Examples:
      | text             |
      | nothing          |
      | three            |
      | 3                |
      | -5               |
      | 5.0              |
      | 9999999999999999 |

  Scenario: Replicas in the lost records keep serving and are recorded again
    Given two registries, of which one has recorded 2 replicas and both have read them
    When the store is restored without the last 1 of them
    Then both still know 2 replicas
    When 2 s pass and the first one writes its records
    Then both know the same 2 replicas from the store

  Scenario: A replica never gets the name or epoch of one in another history
    Given two registries, of which one has recorded 2 replicas and both have read them
    When the store is restored without the last 2 of them
    And 2 s pass and the second one records another replica
    Then 3 replicas have names and epochs of their own, the newest the highest

  Scenario: An append that was based on the old history never takes effect in the new one
    Given two registries, of which one has recorded 2 replicas and both have read them
    When the store is restored without the last 1 of them
    And a writer in the old era appends on condition of an end that exists again
    Then that writer learns that its record was rejected
    And neither registry knows its replica

  Scenario: A name that a lost history has used is not used again
    Given two registries, of which one has recorded 2 replicas and the other has read 1
    When the store is restored without the last 1 of them
    And the other one, still in the old era, records a replica at the same offset
    Then the two replicas at that offset have different names

  Scenario: A filled registry takes nothing from a daemon that still waits for a writer
    Given two registries, of which one has recorded 2 replicas and the other has read 1
    When the store is restored without the last 1 of them
    And 2 s pass and the other one fills the topic without a heartbeat from the first
    And the first one sends its records to the other one
    Then the other one knows only the replicas in the store

  Scenario: One of two writers fills the topic of a new era
    Given two registries, of which one has recorded 2 replicas and both have read them
    When the store is restored without the last 1 of them
    And 2 s pass and both write their records at the same time
    Then the topic of the new era was filled once

  Scenario: A daemon that starts in a new era finds the records of the previous one
    Given two registries, of which one has recorded 2 replicas and both have read them
    When the store is restored without the last 1 of them
    And all daemons restart
    Then both still know 1 replicas

  Scenario: A fleet serves during a restore, and lost replicas are replaced after it
    Given a fleet of 20 hosts in 2 fabric domains whose store sends its era
    And 30 s have passed with requests
    When the store is restored without the last 3 records
    And 5 s pass
    Then every replica that served has served throughout
    When a member of a large replica is lost and its head's streams stall
    And 8 s pass
    Then 2 large and 5 small replicas serve
    And no command broke a rule
    And every replica that serves is recorded in the new era

  Scenario: Replicas that are neither recorded nor known to a new leader are dissolved
    Given a fleet of 20 hosts in 2 fabric domains whose store sends its era
    And 30 s have passed with requests
    When a member of a large replica is lost and its head's streams stall
    And 8 s pass
    And the store is restored without the last 2 records
    And a daemon without any records becomes the leader
    And 40 s pass
    Then no head serves a replica that is not recorded
    And no command broke a rule
    And 2 large and 5 small replicas serve

  Scenario Outline: The leader changes while the store is restored
    Given 4 daemons in 2 failure domains whose store sends its era
    When the leader resigns and <after> s later the store has lost <lost> of its records
    Then all daemons agree on the replicas within 8 s and one is the leader
    And every replica that served still serves, and no command broke a rule
    When a member of a replica is lost
    Then its replica is replaced within 12 s

    Examples:
      | after | lost |
      | 0.0   | 0    |
      | 0.1   | 1    |
      | 0.7   | 1    |
      | 0.7   | 2    |
      | 3.0   | 2    |

  Scenario: The store rejects a failure domain while it is restored
    Given 4 daemons in 2 failure domains whose store sends its era
    When the store rejects the daemons of fd1 and is restored without 3 records
    Then all daemons agree on the replicas within 8 s and one is the leader
    And every replica that served still serves, and no command broke a rule
    When the store serves all daemons again
    And a member of a replica is lost
    Then its replica is replaced within 12 s

  Scenario: The store rejects all daemons but one that was not the leader
    Given 4 daemons in 2 failure domains whose store sends its era
    When the store serves only one daemon and is restored without 3 records
    Then all daemons agree on the replicas within 12 s and one is the leader
    And every replica that served still serves, and no command broke a rule

  Scenario: The store is restored twice within half a second
    Given 4 daemons in 2 failure domains whose store sends its era
    When the store is restored without 2 records and 0.4 s later without 1 more
    Then all daemons agree on the replicas within 8 s and one is the leader
    And every replica that served still serves, and no command broke a rule

  Scenario: A daemon starts while the store is restored
    Given 4 daemons in 2 failure domains whose store sends its era
    When a daemon starts and 0.2 s later the store has lost 3 records of replicas
    Then all daemons agree on the replicas within 8 s and one is the leader
    And every replica that served still serves, and no command broke a rule

  Scenario: All daemons agree again after any losses, crashes and partitions
    When complete daemons go through restores, partitions, crashes and handovers
    Then in the end there is one leader, and the recorded replicas are those that serve

  Scenario: Histories are never mixed, whatever is lost and when
    When stores are restored at random while writers race and daemons start
    Then no host is in two replicas and no name is used twice

  Scenario: Every response of the platform's store contains the era
    Given a stand-in of the platform's store in era 7
    When a record is appended, read, read beyond the end and rejected on condition
    Then the era is 7 after each response
