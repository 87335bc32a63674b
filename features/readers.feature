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
