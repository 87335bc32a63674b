Feature: A few daemons read the store for their failure domain

  Scenario: Two daemons of five read the store, and all hold the newest record
    Given 5 daemons of one failure domain that follow a topic
    When 6 s pass while a record is written each second
    Then each daemon holds the newest record
    And 2 daemons have read the store for most of that time

  Scenario: Another daemon reads the store when a reader is lost
    Given 5 daemons of one failure domain that follow a topic
    When 3 s pass while a record is written each second
    And a reader is lost
    And 6 s pass while a record is written each second
    Then each daemon holds the newest record

  Scenario: Other daemons read when the store rejects both readers
    Given 5 daemons of one failure domain that follow a topic
    When 3 s pass while a record is written each second
    And the store rejects both readers
    And 6 s pass while a record is written each second
    Then each daemon holds the newest record

  Scenario: Other daemons read when the store stops responding to both readers
    Given 5 daemons of one failure domain that follow a topic
    When 3 s pass while a record is written each second
    And the store stops responding to both readers
    And 2 s pass while a record is written each second
    Then each daemon holds the newest record

  Scenario: A daemon that receives no heartbeats reads the store itself
    Given 5 daemons of one failure domain that follow a topic
    When 3 s pass while a record is written each second
    And a daemon that is no reader receives no more heartbeats
    And 6 s pass while a record is written each second
    Then each daemon holds the newest record

  Scenario: A deleted key is deleted at daemons that do not read the store
    Given 5 daemons of one failure domain that follow a topic
    When 3 s pass while a record is written each second
    And the key is deleted
    Then no daemon holds the key

  Scenario: A peer fetches only the newest of many long configurations
    Given a daemon that has read 10 versions of a configuration of 100 kB
    When a peer that has none of them requests the changes
    Then it receives only the newest version in less than 20 kB

  Scenario: A slow fetch of one topic does not delay another topic
    Given 1 daemon that is behind a peer in 2 topics
    And the peer takes 1.5 s to send the first topic
    When each fetches for 0.5 s
    Then each has the newest record of the second topic only

  Scenario: An unresponsive peer does not block fetches from other peers
    Given 20 daemons that are behind 3 peers of which 2 never respond
    When each fetches for 1.5 s
    Then each has the newest record of the first topic

  Scenario: Other peers are asked after one that sends malformed records
    Given 20 daemons that are behind 3 peers of which 2 send malformed data
    When each fetches for 15.0 s
    Then each has the newest record of the first topic

  Scenario Outline: The timeout of a daemon covers the heartbeat interval at that size
    Given a daemon among <daemons> daemons in 3 failure domains
    When it receives the heartbeats of the others for 8 s, but a tenth is lost
    Then it never counts more than 1 of them as gone at once
    And after 5 s without heartbeats it counts all of them as gone

    Examples:
      | daemons |
      | 6       |
      | 65      |

  Scenario: Requests reported from other failure domains count until the next heartbeat
    Given a daemon among 65 daemons in 3 failure domains
    When each of the others reports 2 requests at an upstream once
    Then 0.9 s later it counts 128 requests there
    And 0.5 s later it counts the 86 of other failure domains
    And 1.0 s later it counts none

  Scenario Outline: Daemons of different versions use the fields that both know
    Given a daemon among 6 daemons in 3 failure domains
    When another daemon's heartbeat and record have <fields>
    Then its requests are counted and it is among the registered daemons

    Examples:
      | fields                 |
      | all current fields     |
      | two more fields        |
      | one field less         |

  Scenario: Malformed heartbeats and records are ignored
    Given a daemon among 6 daemons in 3 failure domains
    When another daemon's heartbeat and record are malformed
    Then no requests are counted and its record is unchanged

  Scenario: Two of the daemons that start together read before any heartbeat arrives
    Given 39 daemons of one failure domain that have just registered
    Then 2 of them should read the store
    And all of them should 5 s later without any heartbeat

  Scenario: Every daemon receives heartbeats, also when the count is in step with the batch size
    When a daemon among each number of daemons up to 400 has sent for 3 rounds
    Then each of the others has received at least 2 heartbeats

  Scenario: Many changes of a long configuration do not accumulate in memory
    Given a daemon that reads 300 versions of a configuration of 100 kB
    Then its copy takes less than 1 MB
