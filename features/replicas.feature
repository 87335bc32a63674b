Feature: Replicas over several hosts

  Rule: In a failure domain with two fabric domains

    Background:
      Given the failure domain "d1" with 6 hosts in each of "f1" and "f2"
      And 2 replicas of "m" over 2 hosts are the target

    Scenario: Replicas form in different fabric domains up to the target and serve
      When 40 seconds pass
      Then at least 2 replicas of "m" serve
      And replicas of "m" serve in 2 fabric domains

    Scenario: A lost host is replaced by a reserved spare host
      When 40 seconds pass
      And a host of a serving replica dies and is delisted
      And 2 seconds pass
      Then no replica with that host serves
      When 40 seconds pass
      Then the replica serves again with one host changed

    Scenario: A host whose process restarts keeps its assignment
      When 40 seconds pass
      And the process of a host of a serving replica restarts within 10 seconds
      And 10 seconds pass
      Then the replica serves again with the same record

    @point4
    Scenario: A failure domain that is taken out finishes its streams and keeps its replicas
      When 40 seconds pass
      And a stream runs on each serving replica
      And the failure domain is taken out
      Then no replica serves
      When 60 seconds pass
      Then no stream was aborted
      When the failure domain is brought back
      Then the same replicas serve

    Scenario: A host lost while its failure domain is taken out is replaced
      When 40 seconds pass
      And a host of a serving replica dies and is delisted
      And the failure domain is taken out
      And 40 seconds pass
      And the failure domain is brought back
      Then the replica serves again with one host changed

    Scenario: Replicas are kept while the weight store does not list their model
      When 40 seconds pass
      And the weight store lists only other models
      And 60 seconds pass
      Then at least 2 replicas of "m" serve

    Scenario: A host lost while the log is unavailable is replaced before the repair is recorded
      When 40 seconds pass
      And the log becomes unavailable
      And 6 seconds pass
      And a host of a serving replica dies and is delisted
      And 40 seconds pass
      Then the replica serves again with one host changed
      When another daemon takes over
      And 5 seconds pass
      And the log is available again
      And 5 seconds pass
      Then the journal has these hosts and none of them was restarted

    Scenario: A poll sent before a connection was closed is no proof of presence
      When 40 seconds pass
      And a call finds a connection closed while a poll is under way
      Then the host is not present until a later poll is answered

    Scenario: A share of the weight store's rate that is assigned late is used at once
      Given the daemon starts without a share of the weight store's rate
      When 5 seconds pass
      And it gets its share
      And 40 seconds pass
      Then at least 2 replicas of "m" serve

    Scenario: Peers share their reports, and poll the hosts of a peer that stops relaying
      Given a second daemon, each polling one fabric domain and relaying reports
      When 10 seconds pass
      Then every host got under 3 polls per second and was always present
      When the second daemon stops relaying reports
      And 10 seconds pass
      Then every host was always present

    Scenario Outline: A daemon that was paused polls the hosts before it aborts a stream
      When 40 seconds pass
      And the daemon is paused for 10 s while a host of its replica <event>
      Then the stream is <outcome> within 5 s

      Examples:
        | event    | outcome |
        | stays up | kept    |
        | dies     | aborted |

  Rule: Under faults, compared with the true state of the engines

    @point1 @point2 @point4 @point8
    Scenario: Serving replicas are complete, disjoint and on no excluded host
      Then "Faults" finds no violation in 80 runs of 25 steps

    @point3
    Scenario: Restarted upstreams are not overloaded by all daemons together
      Then "ColdStarts" finds no violation in 40 runs of 20 steps
