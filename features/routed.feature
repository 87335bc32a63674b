Feature: Requests routed on the users' platform

  Scenario: A stream arrives whole, as its engine wrote it
    Given a routed site
    When a caller asks for a stream
    Then it gets 6 events in order, complete
    And the engine got the account, the expected host and no key

  Scenario Outline: A stream goes on at another replica
    Given a routed site
    And the first engine asked will <fail>
    When a caller asks for a stream
    Then it gets 6 events in order, complete
    And 2 engines were asked, the second after event <event>

    Examples:
      | fail   | event |
      | stall  | 3     |
      | break  | 3     |
      | silent | 0     |
      | reset  | 0     |
      | shed   | 0     |

  Scenario: A stream that cannot be completed does not look complete
    Given a routed site
    And every engine will stall
    When a caller asks for a stream
    Then its answer breaks off after event 3

  Scenario Outline: Nothing that may run once is sent twice
    Given a routed site
    And the first plain engine asked will <fail>
    When a caller places an order
    Then the caller is answered <status>
    And 1 plain engine was asked

    Examples:
      | fail           | status |
      | ok             | 200    |
      | reset          | 502    |
      | foreign        | 502    |
      | unsigned       | 502    |
      | unframed reset | 502    |
      | unframed       | 200    |
      | failed         | 500    |

  Scenario: What was not run is sent to another host, also if it may run once
    Given a routed site
    And the first plain engine asked will shed
    When a caller places an order
    Then the caller is answered 200
    And 2 plain engines were asked

  Scenario Outline: A lookup is repeated at another host
    Given a routed site
    And the first plain engine asked will <fail>
    When a caller looks something up
    Then the caller is answered 200
    And 2 plain engines were asked

    Examples:
      | fail           |
      | reset          |
      | foreign        |
      | unsigned       |
      | unframed reset |
      | failed         |
      | shed           |

  Scenario: A refusal tells when to come back and that nothing was run
    Given a routed site
    And every plain engine will shed
    When a caller places an order
    Then the caller is answered 503 with a time to come back

  Scenario Outline: Requests that no route or key allows
    Given a routed site
    When a request comes <how>
    Then the caller is answered <status>

    Examples:
      | how                         | status |
      | for an unknown path         | 404    |
      | for an unknown host         | 404    |
      | with an unknown key         | 401    |
      | without a key               | 401    |
      | without a key for a public  | 200    |
      | with a body that is too long| 413    |

  Scenario: A request ends at its route's timeout
    Given a routed site
    And every plain engine will silent
    When a caller places an order
    Then the caller is answered 502 or 504 within 3.3 s

  Scenario: An upstream learns that its caller has left
    Given a routed site
    And every engine will slow
    When a caller asks for a stream and leaves after 0.3 s
    Then the engine is told within 0.5 s

  Scenario: A host that leaves gets no new requests
    Given a routed site
    When the host e0 says that it leaves
    And 12 streams are asked for
    Then the host e0 has got none of them

  Scenario: A failure domain that is taken out gets nothing until it is back
    Given a routed site
    And an engine e9 in the failure domain z2
    When the failure domain z2 is taken out
    And 12 streams are asked for
    Then the host e9 has got none of them
    When the failure domain z2 is taken back
    And the hosts e0 and e1 say that they leave
    And 2 streams are asked for
    Then the host e9 has got 2 of them

  Scenario: A configuration never goes back
    Given a routed site
    When version 5 without keys is put in force
    And version 4 with the key is read again
    And a request comes with its key
    Then the caller is answered 401

  Scenario: A configuration that cannot be read changes nothing
    Given a routed site
    When an unreadable configuration is written
    And a caller looks something up
    Then the caller is answered 200

  Scenario Outline: Registrations that cannot be read name no host
    Given a routed site
    When a host registers with <record>
    And 4 streams are asked for
    Then all streams are answered

    Examples:
      | record           |
      | not JSON         |
      | a missing field  |
      | an unknown state |
      | a wrong type     |

  Scenario: A daemon that the store turns away learns a revoked key from a peer
    Given a routed site
    And a second daemon
    When the store turns the second daemon away
    And 2.8 s pass there
    And the key is revoked
    And 1.5 s pass there
    And a request comes to the second daemon with its key
    Then the caller is answered 401

  Scenario: A key that is revoked as the store comes back from silence is refused in time
    Given a routed site
    When an operator writes a record and the store falls silent for 2.6 s
    And the key is revoked
    And 2.0 s pass there
    And a request comes with its key
    Then the caller is answered 401

  Scenario: Lost history is read again from the newest records
    Given a routed site
    When the store forgets its history while a key is revoked
    And 1.5 s pass there
    And a request comes with its key
    Then the caller is answered 401

  Scenario: Requests that come with the start wait for what is read then (a restart)
    Given a routed site
    When a daemon starts and 5 lookups and 5 streams come at once
    Then all of them are answered 200 within 1 s

  Scenario: A daemon that learns nothing refuses soon, and then at once
    Given a routed site without a configuration
    When a caller looks something up twice
    Then both are answered 503, the first within 1 s and the second within 0.1 s

  Scenario: A daemon without a configuration says so
    Given a routed site without a configuration
    When a caller looks something up
    Then the caller is answered 503 with a time to come back

  Scenario: A shutdown refuses late requests and finishes the others
    Given a routed site
    And every engine will slow
    When a caller asks for a stream and the daemon is told to stop
    Then it gets 6 events in order, complete
    And a request 4 s into the shutdown is answered 503

  Scenario: Nothing outside the adapter knows the platform's names
    Then no other source names a header, call or topic of the platform

  Scenario: A stream that has begun waits for a head that cannot be reached for a while
    Given a routed site with one engine
    And the only engine will break off and be away for 0.4 s
    When a caller asks for a stream
    Then it gets 6 events in order, complete

  Scenario: Heads that have just left their replicas cost no attempt (a replica is ended)
    Given a routed site with three engines
    And the engines e0 and e1 will misdirect
    When 6 streams are asked for
    Then all streams are answered
    And the engines e0 and e1 were asked at most twice each

  Scenario: No more live heads are tried than the route allows
    Given a routed site with three engines
    And every engine will stall
    When a caller asks for a stream
    Then its answer breaks off after event 3
    And 2 engines have got the request

  Scenario: A daemon that stood still does not take a sound engine for silent
    Given a routed site with three engines
    And every engine will freeze
    When a caller asks for a stream
    Then it gets 6 events in order, complete
    And 1 engines have got the request

  Scenario: Callers are served while the store comes back from an older copy, twice
    Given a routed site whose store tells its era
    When the store comes back older twice while a caller asks again and again
    Then each of its requests was answered
    And the store holds the replicas and the daemon's address again
    And the daemon's metrics tell era 3 and 2 changes of it

  Scenario: Connections with half a request head are closed in the configured time
    Given a routed site whose callers may be idle for 0.5 s
    When 30 connections bring half a request head each
    Then all are closed within 2 s

  Scenario Outline: Callers may send what the configuration allows, and no more
    Given a routed site
    When a request comes <how>
    Then the caller is answered <status>

    Examples:
      | how                                  | status |
      | with a header of 12000 bytes         | 200    |
      | with a header of 20000 bytes         | 431    |
      | with a body of 90000 bytes           | 200    |
      | with a body of 110000 bytes          | 413    |

  Scenario Outline: A time limit that says nothing is logged, and the route's holds
    Given a routed site
    When a lookup with the time limit <text> comes
    Then the caller is answered 200
    And the ignored time limit was logged once

    Examples:
      | text |
      | -1   |
      | nan  |
      | 1e3  |

  Scenario: A number in a header that is too long counts as missing
    Given a routed site
    When a request comes with token counts of 400 digits
    Then the caller is answered 200
