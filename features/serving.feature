Feature: The face towards callers and peers

  Background:
    Given a daemon with 2 engines and 1 plain service

  Scenario: A streamed answer is whole and ends with its marker
    When the caller streams an answer
    Then the stream has 5 chunks in order and ends with the done marker

  Scenario: A whole answer is the chunks joined
    When the caller asks for a whole answer
    Then the answer is t0t1t2t3t4

  Scenario: A request names all that is wrong with it
    When the caller sends a request with 2 bad headers and 3 bad fields
    Then the refusal is invalid_request with 5 findings and was not run

  Scenario Outline: A bad request gets a coded refusal that was not run
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
  Scenario: A shutdown finishes what is in flight and refuses the rest
    Given a slow stream in flight
    When the daemon drains
    Then the slow stream is whole
    And a new request is refused as draining and was not run
    And the daemon is drained only after the stream was whole

  Scenario: A caller that leaves frees its engine and its slots
    Given a slow stream in flight
    When the caller leaves
    Then the engine was cancelled and every slot is free

  Scenario: A call without a slot here runs at a peer, once
    Given a peer with a free slot and no slot here
    When the caller streams an answer
    Then the stream has 5 chunks in order and ends with the done marker
    And only the peer ran it

  Scenario Outline: A call is dispatched 3 times at most, at peers as well (BUDGET)
    Given 3 peers with free slots and no slot here
    When the engines break off after <chunks> chunks and a caller streams an answer
    Then the engines of the peers got 3 calls

    Examples:
      | chunks |
      | 0      |
      | 2      |

  Scenario Outline: A call that breaks off twice at peers is whole from the next
    Given 3 peers with free slots and no slot here
    When 2 calls break off after <chunks> chunks and a caller streams an answer
    Then the engines of the peers got 3 calls
    And the stream has 5 chunks in order and ends with the done marker

    Examples:
      | chunks |
      | 0      |
      | 2      |

  Scenario: A forwarded call is taken only as it was signed, and once
    Given a peer with a free slot and no slot here
    Then a forwarded call that was changed, repeated or sent on is forbidden

  Scenario: Calls that wait for the log hold no slot of a service
    Given a plain service with 1 slot, and a log that does not answer
    When an order with a key waits for the log, and a lookup comes
    Then the lookup is answered while the order still waits

  Scenario: A refusal is logged under the id that its caller is told
    Given a daemon with 2 engines and 1 plain service
    When a caller without a key and without a request id calls
    Then the id in the refusal is the one in the log
