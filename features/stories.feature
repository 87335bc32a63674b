Feature: Failures that operators of similar systems have reported

  Scenario: A server sends a late duplicate of an answer on a keep-alive connection
    Given a gateway site
    And every plain engine runs the script second copy
    When 30 lookups are sent by 5 workers one after another
    Then each gets the answer to its own request

  Scenario: Accepted requests are answered during a graceful shutdown under load
    Given a gateway site
    When the daemon is told to stop while 40 lookups a second come
    Then each lookup has got a whole answer or a refusal with Retry-After
    And at least 100 of them were answered 200

  Scenario: A slow but healthy stream is not aborted
    Given a gateway site
    And every engine runs the script slow
    When a caller requests a stream
    Then the caller receives all 6 events in order
    And 1 engines received the request

  Scenario Outline: A stalled stream that still sends single bytes is ended
    Given a gateway site
    And the first engine to receive a request runs the script <trickle>
    When a caller requests a stream
    Then the caller receives all 6 events in order
    And it took less than 2.2 s

    Examples:
      | trickle              |
      | trickle after event  |
      | trickle from start   |

  Scenario Outline: A request whose answer is lost is neither repeated nor reported as not executed
    Given a gateway site
    And the first plain engine to receive a request runs the script <fail>
    When a caller sends a non-idempotent request
    Then the caller receives status 502
    And 1 plain engine received a request

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
    Given a gateway site
    And every plain engine runs the script <fail>
    When a caller sends a non-idempotent request
    Then the caller receives status 502

    Examples:
      | fail             |
      | short            |
      | chunked cut      |
      | unframed reset   |

  Scenario: A stream whose connection closes before its end does not look complete
    Given a gateway site
    And every engine runs the script close halfway
    When a caller requests a stream
    Then the response is aborted after event 3
