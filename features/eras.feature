Feature: A store that comes back from an older copy

  Scenario: Reading goes on where offsets are given out again
    Given a daemon that has read 5 records of a topic
    When the store comes back without the last 3 of them
    And a record is written each second for 4 s
    Then the daemon holds every record that was written since
    And no reading was logged as lost

  Scenario: No daemon goes back to an older configuration
    Given a daemon that has read versions 1 to 5 of a configuration
    When the store comes back without the last 3 of them
    Then version 5 is in force
    When the operator writes version 5 again
    Then version 5 is in force
    And no version was put in force twice
    When the operator writes version 6
    Then version 6 is in force

  Scenario: A daemon that has read the newest version alone does not go back either
    Given a daemon that has read version 5 of a configuration alone
    When the store comes back without the last 3 of them
    Then version 5 is in force

  Scenario: A mark that was taken back stays so, and one that was set as well
    Given a daemon that has read a mark of domain a, its end, and a mark of domain b
    When the store comes back without the last 2 of them
    Then domain a is in service and domain b is out
    When the operator takes the mark of domain b back
    Then domain a is in service and domain b is in service

  Scenario: A mark that is set anew while the store was away counts
    Given a daemon that has read a mark of domain a, its end, and a mark of domain b
    When the store comes back without the last 2 of them
    And the operator marks domain c before the daemon has read
    Then domain c is out

  Scenario: Registrations that the store lost lapse, and older ones are no news
    Given a daemon that has read registrations of u1, u2 and then u1 in another state
    When the store comes back without the last 2 of them
    Then u1 is held in its last state
    And the registration of u2 has lapsed
    When u2 registers again
    Then u2 is held

  Scenario: A daemon that starts while the store is older learns from the others
    Given a daemon that has read versions 1 to 5 of a configuration
    When the store comes back without the last 3 of them
    And another daemon starts and both tell each other how far they have read
    Then version 5 is in force at the other daemon

  Scenario: A daemon that was behind learns what the others had read
    Given a daemon that has read versions 1 to 5 of a configuration
    And another daemon that had read version 4 last
    When the store comes back without the last 3 of them
    And both tell each other how far they have read
    Then version 5 is in force at the other daemon

  Scenario: A daemon that cannot read the store learns the era from a peer
    Given a daemon that has read versions 1 to 5 of a configuration
    And another daemon that had read version 4 last
    And the store turns the other daemon away
    When the store comes back without the last 3 of them
    And both tell each other how far they have read
    And the operator writes version 6
    And both tell each other how far they have read
    Then version 6 is in force at the other daemon

  Scenario: An answer of the era before that comes late changes nothing
    Given a daemon that has read versions 1 to 5 of a configuration
    When its next reading is answered only after it has heard of a new era
    Then nothing of that answer is taken

  Scenario Outline: An era that makes no sense changes nothing
    Given a daemon that knows era 4 of the store
    When an answer tells the era as <text>
    Then the daemon knows era 4
    And that is logged once in 3 answers

    Examples:
      | text             |
      | nothing          |
      | three            |
      | 3                |
      | -5               |
      | 5.0              |
      | 9999999999999999 |

  Scenario: Replicas formed in the lost part go on, and the register is written again
    Given two registers, of which one has recorded 2 replicas and both have read them
    When the store comes back without the last 1 of them
    Then both still know 2 replicas
    When 2 s pass and the first one writes what it knows
    Then both know the same 2 replicas from the store

  Scenario: A replica is never named or numbered as one of another history
    Given two registers, of which one has recorded 2 replicas and both have read them
    When the store comes back without the last 2 of them
    And 2 s pass and the second one records another replica
    Then 3 replicas have names and epochs of their own, the newest the highest

  Scenario: An append that was decided on the old history never counts in the new one
    Given two registers, of which one has recorded 2 replicas and both have read them
    When the store comes back without the last 1 of them
    And a writer that has not noticed appends on condition of an end that exists again
    Then that writer is told that it was not recorded
    And neither register knows its replica

  Scenario: A name that a lost history has given is not given again
    Given two registers, of which one has recorded 2 replicas and the other has read 1
    When the store comes back without the last 1 of them
    And the other one, which has not noticed, records a replica at the same offset
    Then the two replicas at that offset have different names

  Scenario: A register that has been filled takes nothing from a daemon that waits for it
    Given two registers, of which one has recorded 2 replicas and the other has read 1
    When the store comes back without the last 1 of them
    And 2 s pass and the other one fills the register without having heard the first
    And the first one tells what it knows
    Then the other one knows the replicas of the store alone

  Scenario: One of two writers fills the register of a new era
    Given two registers, of which one has recorded 2 replicas and both have read them
    When the store comes back without the last 1 of them
    And 2 s pass and both write what they know at the same time
    Then the register of the new era was filled once

  Scenario: A daemon that starts in a new era finds the register of the one before
    Given two registers, of which one has recorded 2 replicas and both have read them
    When the store comes back without the last 1 of them
    And every daemon starts anew
    Then both still know 1 replicas

  Scenario: A fleet serves through the drill, and losses are made good after it
    Given a fleet of 20 hosts in 2 fabric domains whose store tells its era
    And 30 s have passed with requests
    When the store comes back without the last 3 records
    And 5 s pass
    Then every replica that served has served all the time
    When a member of a large replica is lost and its head's streams stall
    And 8 s pass
    Then 2 large and 5 small replicas serve
    And no command broke a rule
    And every replica that serves is recorded in the new era

  Scenario: Replicas that a restarted fleet plays and the store has lost are ended
    Given a fleet of 20 hosts in 2 fabric domains whose store tells its era
    And 30 s have passed with requests
    When a member of a large replica is lost and its head's streams stall
    And 8 s pass
    And the store comes back without the last 2 records
    And a daemon that knows nothing takes the duty
    And 40 s pass
    Then no head serves a replica that is not recorded
    And no command broke a rule
    And 2 large and 5 small replicas serve

  Scenario Outline: The duty is handed over while the store comes back older
    Given 4 daemons in 2 failure domains whose store tells its era
    When the duty is given up and <after> s later the store has lost <lost> of its records
    Then all daemons know the same replicas within 8 s and one is on duty
    And every replica that served has gone on, and no command broke a rule
    When a member of a replica is lost
    Then its replica is made good within 12 s

    Examples:
      | after | lost |
      | 0.0   | 0    |
      | 0.1   | 1    |
      | 0.7   | 1    |
      | 0.7   | 2    |
      | 3.0   | 2    |

  Scenario: The store is away for a failure domain while it comes back older
    Given 4 daemons in 2 failure domains whose store tells its era
    When the store turns the daemons of fd1 away and comes back without 3 records
    Then all daemons know the same replicas within 8 s and one is on duty
    And every replica that served has gone on, and no command broke a rule
    When the store serves all daemons again
    And a member of a replica is lost
    Then its replica is made good within 12 s

  Scenario: The store turns all but one daemon away that had not the duty
    Given 4 daemons in 2 failure domains whose store tells its era
    When the store serves one daemon alone and comes back without 3 records
    Then all daemons know the same replicas within 12 s and one is on duty
    And every replica that served has gone on, and no command broke a rule

  Scenario: The store comes back older twice within half a second
    Given 4 daemons in 2 failure domains whose store tells its era
    When the store comes back without 2 records and 0.4 s later without 1 more
    Then all daemons know the same replicas within 8 s and one is on duty
    And every replica that served has gone on, and no command broke a rule

  Scenario: A daemon starts while the store comes back older
    Given 4 daemons in 2 failure domains whose store tells its era
    When a daemon starts and 0.2 s later the store has lost 3 records of replicas
    Then all daemons know the same replicas within 8 s and one is on duty
    And every replica that served has gone on, and no command broke a rule

  Scenario: Whatever the store loses, and whoever is lost or cut off, all agree again
    When whole daemons go through lost histories, cuts, crashes and hand-overs
    Then one is on duty in the end, and what is recorded is what serves

  Scenario: No history is mixed with another, whatever is lost and when
    When stores come back older at random while writers race and daemons start
    Then no host is in two replicas and no name is given twice

  Scenario: The era comes with every answer of the platform's store
    Given a stand-in of the platform's store in era 7
    When a record is appended, read, asked for beyond the end and refused on condition
    Then the era is 7 after each answer
