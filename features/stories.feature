Feature: Failures that operators of similar systems have reported

  Scenario: A server sends a late duplicate of an answer on a keep-alive connection
    Given a routed site
    And every plain engine will second copy
    When 30 lookups are sent by 5 workers one after another
    Then each gets the answer to its own request

  Scenario: Accepted requests are answered during a graceful shutdown under load
    Given a routed site
    When the daemon is told to stop while 40 lookups a second come
    Then each lookup has got a whole answer or a refusal with Retry-After
    And at least 100 of them were answered 200

  Scenario: A slow but healthy stream is not aborted
    Given a routed site
    And every engine will slow
    When a caller asks for a stream
    Then it gets 6 events in order, complete
    And 1 engines have got the request

  Scenario Outline: A stalled stream that still sends single bytes is ended
    Given a routed site
    And the first engine asked will <trickle>
    When a caller asks for a stream
    Then it gets 6 events in order, complete
    And it took less than 2.2 s

    Examples:
      | trickle              |
      | trickle after event  |
      | trickle from start   |

  Scenario Outline: A request whose answer is lost is neither repeated nor reported as not executed
    Given a routed site
    And the first plain engine asked will <fail>
    When a caller places an order
    Then the caller is answered 502
    And 1 plain engine was asked

    Examples:
      | fail            |
      | reset           |
      | silent close    |
      | half a head     |

  Scenario: Two daemons act as leader at the same time during a failover
    Given a fleet of 20 hosts in 2 fabric domains
    And 30 s have passed with requests
    When a second daemon acts as leader as well while hosts are lost, for 20 s
    Then no command broke a rule
    And every recorded replica serves
    And no host got two different commands to load at once

  Scenario Outline: A truncated answer is not reported as success
    Given a routed site
    And every plain engine will <fail>
    When a caller places an order
    Then the caller is answered 502

    Examples:
      | fail             |
      | short            |
      | chunked cut      |
      | unframed reset   |

  Scenario: A stream whose connection closes before its end does not look complete
    Given a routed site
    And every engine will close halfway
    When a caller asks for a stream
    Then its answer breaks off after event 3
