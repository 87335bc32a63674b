Feature: Replicas over several hosts

  Background:
    Given the failure domain "d1" with 6 hosts in each of "f1" and "f2"
    And 2 replicas of "m" over 2 hosts are wanted

  Scenario: Wanted replicas form in different fabric domains and serve
    When 40 seconds pass
    Then at least 2 replicas of "m" serve
    And replicas of "m" serve in 2 fabric domains

  Scenario: A lost host is replaced by a spare that is kept for it
    When 40 seconds pass
    And a host of a serving replica dies
    And 2 seconds pass
    Then no replica with that host serves
    When 40 seconds pass
    Then the replica serves again with one host changed
