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
      And a host of a serving replica dies and is listed no more
      And 2 seconds pass
      Then no replica with that host serves
      When 40 seconds pass
      Then the replica serves again with one host changed

    Scenario: A host whose process restarts keeps its part
      When 40 seconds pass
      And the process of a host of a serving replica restarts within 10 seconds
      And 10 seconds pass
      Then the replica serves again with the same record

    @point4
    Scenario: A failure domain that is out finishes its streams and stays formed
      When 40 seconds pass
      And a stream runs on each serving replica
      And the failure domain is taken out
      Then no replica serves
      When 60 seconds pass
      Then no stream was cut
      When the failure domain is brought back
      Then the same replicas serve

    Scenario: A host lost while its failure domain is out is replaced for the return
      When 40 seconds pass
      And a host of a serving replica dies and is listed no more
      And the failure domain is taken out
      And 40 seconds pass
      And the failure domain is brought back
      Then the replica serves again with one host changed

    Scenario: Replicas stay while the weight store's list lacks their model
      When 40 seconds pass
      And the weight store lists other models alone
      And 60 seconds pass
      Then at least 2 replicas of "m" serve

    Scenario: A host lost while the log is away is replaced, and recorded later
      When 40 seconds pass
      And the log goes away
      And 6 seconds pass
      And a host of a serving replica dies and is listed no more
      And 40 seconds pass
      Then the replica serves again with one host changed
      When another daemon takes over
      And 5 seconds pass
      And the log comes back
      And 5 seconds pass
      Then the journal has these hosts and none of them was started again

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

    Scenario: Peers share their polls, and poll for a peer that falls silent
      Given a second daemon, each polling one fabric domain and relaying reports
      When 10 seconds pass
      Then every host got under 3 polls a second and was present all the time
      When the second daemon relays nothing more
      And 10 seconds pass
      Then every host was present all the time

    Scenario Outline: A daemon that did not run polls before it cuts a stream
      When 40 seconds pass
      And the daemon does not run for 10 s, while a host of its replica <does>
      Then the stream is <verdict> within 5 s

      Examples:
        | does     | verdict |
        | lives on | kept    |
        | dies     | cut     |

  Rule: Under faults, against what the engines truly did

    @point1 @point2 @point4 @point8
    Scenario: Replicas serve whole, apart and nowhere that is left
      Then "Faults" finds no violation in 80 runs of 25 steps

    @point3
    Scenario: Upstreams that started anew bear what all daemons send
      Then "ColdStarts" finds no violation in 40 runs of 20 steps
