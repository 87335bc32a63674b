Feature: Replicas over several hosts

  Rule: In a failure domain with two fabric domains

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

    Scenario: A poll from before a closed connection shows no presence
      When 40 seconds pass
      And a call finds a connection closed while a poll is under way
      Then the host is not present until a later poll is answered

    Scenario: A part of the weight store's rate that comes late is used at once
      Given the daemon starts without a part of the weight store's rate
      When 5 seconds pass
      And it gets its part
      And 40 seconds pass
      Then at least 2 replicas of "m" serve

  Rule: Under faults, against what the engines truly did

    @point1 @point2 @point4 @point8
    Scenario: Replicas serve whole, apart and nowhere that is left
      Then "Faults" finds no violation in 80 runs of 25 steps

    @point3
    Scenario: Upstreams that started anew bear what all daemons send
      Then "ColdStarts" finds no violation in 40 runs of 20 steps
