Feature: Upstreams that leave or back off, and endless responses

  Scenario Outline: An upstream that announces that it is leaving gets no more requests
    Given a gateway site
    And the plain engine p0 announces that it is leaving with a <answer>
    When 8 non-idempotent requests are sent one after another
    Then the plain engine p0 received at most 1 of them

    Examples:
      | answer    |
      | success   |
      | failure   |
      | refusal   |

  Scenario: A head that announces that it is leaving completes its stream
    Given a gateway site
    And the engine e0 announces that it is leaving with its next stream
    When streams are requested until e0 receives one
    Then the caller receives all 6 events in order
    When 8 streams are requested
    Then the host e0 received none of them

  Scenario: Other daemons are notified of a leaving upstream
    Given a gateway site
    And a second daemon
    And the plain engine p0 announces that it is leaving with a success
    When 8 non-idempotent requests are sent one after another
    And 1 s passes
    And 8 non-idempotent requests are sent to the second daemon
    Then the plain engine p0 received at most 1 of them

  Scenario: An engine that reports that it is leaving gets no more requests
    Given a gateway site
    And the engine e0 announces in its reports that it is leaving
    When the engine e0 is probed
    And 12 streams are requested
    Then the host e0 received none of them

  Scenario: An upstream that restarts under its id is used again
    Given a gateway site
    And the plain engine p0 announces that it is leaving with a success
    When 8 non-idempotent requests are sent one after another
    And the plain engine p0 restarts under its id
    And 24 non-idempotent requests are sent one after another
    Then the plain engine p0 received at least 3 of them

  Scenario: An upstream that sends Retry-After gets no request until then
    Given a gateway site
    And the plain engine p0 rejects requests with Retry-After 1.2 s
    When non-idempotent requests are sent for 2.4 s
    Then the plain engine p0 received 0 of them within 1.2 s of each rejection
    And every request received status 200

  Scenario: Probes and engine commands wait for the end of an upstream's backoff
    Given a gateway site
    And the engine e0 rejects requests with Retry-After 1.2 s
    When streams are requested until e0 receives one
    Then neither a probe nor an engine command reaches e0 for 1 s

  Scenario: Callers are told when the backoff of the last upstream ends
    Given a gateway site
    And every plain engine rejects requests with Retry-After 2.5 s
    When a non-idempotent request is sent twice, with a deadline of 12 s
    Then the second is rejected at once with Retry-After from 2 to 3 s

  Scenario Outline: Implausible values of Retry-After are ignored or capped
    Given an upstream sends Retry-After <asked>
    Then the backoff lasts <seconds> s

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
    Given a gateway site
    And the plain engine p0 sends <bytes> endlessly
    When non-idempotent requests are sent while the daemon's memory is measured
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

  Scenario: An endless event is aborted and its stream resumes at another engine
    Given a gateway site
    And the first engine to receive a request runs the script endless event
    When a caller requests a stream
    Then the caller receives all 6 events in order

  Scenario: Parsing an event in many small blocks takes time linear in its length
    Then an event of 400 kB in blocks of 100 bytes is read within 1 s

  Scenario: A store whose response never ends counts as unavailable
    Given a store whose response to a read never ends
    When its topic is read
    Then the read fails with less than 24 MB allocated

  Scenario Outline: Oversized or truncated records of a peer are rejected
    Given a peer whose records are <fault>
    When they are fetched
    Then the fetch fails with less than 48 MB allocated

    Examples:
      | fault                |
      | without end          |
      | 1 GB when unpacked   |
      | cut off              |
