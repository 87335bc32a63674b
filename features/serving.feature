Feature: HTTP front end for callers and peers

  Background:
    Given a daemon with 2 engines and 1 plain service

  Scenario: A streamed answer is complete and ends with the done marker
    When the caller streams an answer
    Then the stream has 5 chunks in order and ends with the done marker

  Scenario: An answer that is not streamed is the concatenation of the chunks
    When the caller requests an answer without streaming
    Then the answer is t0t1t2t3t4

  Scenario: A refusal lists every error of an invalid request
    When the caller sends a request with 2 bad headers and 3 bad fields
    Then the refusal is invalid_request with 5 findings and was not run

  Scenario Outline: An invalid request is refused with a code and was not run
    When the caller sends <request>
    Then the refusal is <code> with status <status> and was not run

    Examples:
      | request              | code            | status |
      | broken JSON          | invalid_request | 400    |
      | no key               | unauthenticated | 401    |
      | an unknown model     | not_granted     | 403    |
      | a body that is slow  | body_too_slow   | 408    |
      | an oversized body    | body_too_long   | 413    |

  @point9
  Scenario: A shutdown completes requests in flight and refuses new ones
    Given a slow stream in flight
    When the daemon drains
    Then the slow stream is complete
    And a new request is refused as draining and was not run
    And the daemon is drained only after the stream was complete

  Scenario: A caller that disconnects releases its engine and its slots
    Given a slow stream in flight
    When the caller disconnects
    Then the engine was cancelled and every slot is free

  Scenario: A call without a local slot runs once, at a peer
    Given a peer with a free slot and no local slot
    When the caller streams an answer
    Then the stream has 5 chunks in order and ends with the done marker
    And only the peer ran it

  Scenario Outline: A call is dispatched at most 3 times, also at peers (BUDGET)
    Given 3 peers with free slots and no local slot
    When the engines fail after <chunks> chunks and a caller streams an answer
    Then the engines of the peers got 3 calls

    Examples:
      | chunks |
      | 0      |
      | 2      |

  Scenario Outline: A call that fails at peers twice is completed by the next
    Given 3 peers with free slots and no local slot
    When 2 calls fail after <chunks> chunks and a caller streams an answer
    Then the engines of the peers got 3 calls
    And the stream has 5 chunks in order and ends with the done marker

    Examples:
      | chunks |
      | 0      |
      | 2      |

  Scenario: A forwarded call is accepted only as it was signed, and once
    Given a peer with a free slot and no local slot
    Then a forwarded call that was modified, replayed or forwarded again is forbidden

  Scenario: Calls that wait for the log hold no slot of a service
    Given a plain service with 1 slot, and a log that does not answer
    When a POST call with a key waits for the log and a GET call is made
    Then the GET call is answered while the POST call still waits

  Scenario: A refusal is logged with the request id that the caller receives
    Given a daemon with 2 engines and 1 plain service
    When a call is made without an API key and without a request id
    Then the request id in the refusal is the one in the log

  # The head of a second answer was written into a stream that failed
  Scenario: A stream that fails unexpectedly ends with an error event and a log line
    When an engine's answer raises an unexpected error after 2 chunks
    Then the stream has 2 chunks and ends with an error event that names it
    And the log names the request with the error

  # The end of an answer that its caller had yet to read was lost at the exit
  Scenario Outline: A request is in flight until its whole answer has been sent
    When a caller slowly reads an answer of 40000 bytes that is <kind>
    Then no bytes are unsent once its request is not in flight

    Examples:
      | kind         |
      | streamed     |
      | not streamed |

  # An error in an order whose caller had left was dropped without a line
  Scenario: An order whose caller has left leaves a line that says how it ended
    When a caller leaves while its order runs, which then fails unexpectedly
    Then the log names the request with the error
