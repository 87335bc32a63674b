Feature: A few daemons read the store for their failure domain

  Scenario: Two daemons of five read, and all know the newest record
    Given 5 daemons of one failure domain that follow a topic
    When 6 s pass while a record is written each second
    Then each daemon holds the newest record
    And 2 daemons have read the store for most of that time

  Scenario: Another daemon reads when a reader is lost
    Given 5 daemons of one failure domain that follow a topic
    When 3 s pass while a record is written each second
    And a reader is lost
    And 6 s pass while a record is written each second
    Then each daemon holds the newest record

  Scenario: Other daemons read when the store turns both readers away
    Given 5 daemons of one failure domain that follow a topic
    When 3 s pass while a record is written each second
    And the store turns both readers away
    And 6 s pass while a record is written each second
    Then each daemon holds the newest record

  Scenario: Other daemons read when the store falls silent towards both readers
    Given 5 daemons of one failure domain that follow a topic
    When 3 s pass while a record is written each second
    And the store falls silent towards both readers
    And 2 s pass while a record is written each second
    Then each daemon holds the newest record

  Scenario: A daemon that hears nobody reads for itself
    Given 5 daemons of one failure domain that follow a topic
    When 3 s pass while a record is written each second
    And a daemon that does not read hears nobody any more
    And 6 s pass while a record is written each second
    Then each daemon holds the newest record

  Scenario: A dropped key is dropped at daemons that do not read
    Given 5 daemons of one failure domain that follow a topic
    When 3 s pass while a record is written each second
    And the key is dropped
    Then no daemon holds the key

  Scenario: A storm of long configurations costs a peer one of them
    Given a daemon that has read 10 versions of a configuration of 100 kB
    When a peer that knows none of them asks for the changes
    Then it gets the newest version alone in less than 20 kB

  Scenario: A topic that is slow to come holds up no other
    Given 1 daemon that is behind a peer in 2 topics
    And the peer takes 1.5 s to send the first topic
    When each relays for 0.5 s
    Then each has the newest record of the second topic only

  Scenario: A peer that does not answer is not waited for
    Given 20 daemons that are behind 3 peers of which 2 never answer
    When each relays for 1.5 s
    Then each has the newest record of the first topic

  Scenario: A peer whose records cannot be read is not the last to be asked
    Given 20 daemons that are behind 3 peers of which 2 send nonsense
    When each relays for 15.0 s
    Then each has the newest record of the first topic

  Scenario Outline: A daemon is heard of for as long as its beats take at that size
    Given a daemon among <daemons> daemons in 3 failure domains
    When it hears each of the others as often as they send for 8 s, a tenth is lost
    Then it never counts more than 1 of them as gone at once
    And after 5 s without beats it counts all of them as gone

    Examples:
      | daemons |
      | 6       |
      | 65      |

  Scenario: Requests of daemons far away count until their next beat
    Given a daemon among 65 daemons in 3 failure domains
    When each of the others tells once of 2 requests at an upstream
    Then 0.9 s later it counts 128 requests there
    And 0.5 s later it counts the 86 of other failure domains
    And 1.0 s later it counts none

  Scenario Outline: A fleet of two versions understands what both know
    Given a daemon among 6 daemons in 3 failure domains
    When another one's beat and seat have <fields>
    Then its requests are counted and it is among the recorded daemons

    Examples:
      | fields                 |
      | the fields of today    |
      | two more fields        |
      | one field less         |

  Scenario: Beats and seats that cannot be read change nothing
    Given a daemon among 6 daemons in 3 failure domains
    When another one's beat and seat are nonsense
    Then no requests are counted and its seat stays as it was

  Scenario: Of daemons that start together two read, though none has been heard
    Given 39 daemons of one failure domain that have just recorded where they listen
    Then 2 of them are to read the store
    And all of them are 5 s later if they still hear nobody

  Scenario: Every daemon gets beats, however many there are (turns in step with the count)
    When a daemon among each number of daemons up to 400 has sent for 3 rounds
    Then each of the others has got at least 2 beats

  Scenario: A long configuration that changes all day does not fill the memory
    Given a daemon that reads 300 versions of a configuration of 100 kB
    Then its copy takes less than 1 MB
