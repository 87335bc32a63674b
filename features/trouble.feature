Feature: What upstreams in trouble say, and answers that never end

  Scenario Outline: An upstream that says that it leaves gets nothing more
    Given a routed site
    And the plain engine p0 will say that it leaves with <answer>
    When 8 orders are placed one after the other
    Then the plain engine p0 has got at most 1 of them

    Examples:
      | answer    |
      | success   |
      | failure   |
      | refusal   |

  Scenario: A stream's head that says that it leaves finishes the stream
    Given a routed site
    And the engine e0 will say that it leaves with its next stream
    When streams are asked for until e0 has got one
    Then it gets 6 events in order, complete
    When 8 streams are asked for
    Then the host e0 has got none of them

  Scenario: Other daemons are told of an upstream that leaves
    Given a routed site
    And a second daemon
    And the plain engine p0 will say that it leaves with success
    When 8 orders are placed one after the other
    And 1 s passes
    And 8 orders are placed at the second daemon
    Then the plain engine p0 has got at most 1 of them

  Scenario: A report that says that its engine leaves is believed
    Given a routed site
    And the engine e0 says in its reports that it leaves
    When the engine e0 is probed
    And 12 streams are asked for
    Then the host e0 has got none of them

  Scenario: An upstream that starts again under its id is used again
    Given a routed site
    And the plain engine p0 will say that it leaves with success
    When 8 orders are placed one after the other
    And the plain engine p0 starts again under its id
    And 24 orders are placed one after the other
    Then the plain engine p0 has got at least 3 of them

  Scenario: An upstream that asks for rest gets nothing until its end
    Given a routed site
    And the plain engine p0 will refuse and ask for 1.2 s of rest
    When orders are placed for 2.4 s
    Then the plain engine p0 got 0 of them in 1.2 s of rest
    And every order was answered 200

  Scenario: A probe or an order waits for the end of an upstream's rest
    Given a routed site
    And the engine e0 will refuse and ask for 1.2 s of rest
    When streams are asked for until e0 has got one
    Then neither a probe nor an order reaches e0 for 1 s

  Scenario: Callers are told when the last upstream's rest ends
    Given a routed site
    And every plain engine asks for 2.5 s of rest
    When an order is placed twice, with 12 s to wait
    Then the second is refused at once and told to come back after 2 to 3 s

  Scenario Outline: A rest that cannot be believed is bounded
    Given a rest of <asked> is asked for
    Then the upstream rests for <seconds> s

    Examples:
      | asked                         | seconds |
      | 1.5                           | 1.5     |
      | 0                             | 0       |
      | -3                            | 0       |
      | soon                          | 0       |
      | nan                           | 0       |
      | 1e300                         | 30      |
      | Wed, 21 Oct 2026 07:28:00 GMT | 0       |

  Scenario Outline: Bytes without end from an upstream are cut, and others served
    Given a routed site
    And the plain engine p0 will send <bytes> without end
    When orders are placed while the daemon's memory is watched
    Then no caller gets bytes of them, and each is answered
    And memory has grown by less than 24 MB
    And the connections to the plain engine p0 are closed

    Examples:
      | bytes                  |
      | a head line            |
      | head lines             |
      | interim answers        |
      | a body without length  |
      | a body past its length |
      | a failure's body       |
      | a body of 500 MB       |

  Scenario: An event without end is cut and its stream goes on elsewhere
    Given a routed site
    And the first engine asked will endless event
    When a caller asks for a stream
    Then it gets 6 events in order, complete

  Scenario: An event that comes byte by byte costs no more than its length
    Then an event of 400 kB in blocks of 100 bytes is read within 1 s

  Scenario: A store whose answer never ends counts as away
    Given a store that answers a reading without end
    When its topic is read
    Then the reading fails with less than 24 MB taken

  Scenario Outline: Records of a peer that are longer than any are refused
    Given a peer whose records are <fault>
    When they are fetched
    Then the fetch fails with less than 48 MB taken

    Examples:
      | fault                |
      | without end          |
      | 1 GB when unpacked   |
      | cut off              |
