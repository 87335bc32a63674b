Feature: Choice of the upstream by predicted cost

  Background:
    Given two near heads of 10 slots whose engine publishes its times

  # Guards against: a count that takes one long prompt for one request, so that a short
  # request waits behind it for longer than its objective.
  Scenario: A short request behind a long prompt
    Given n0 reads a prompt of 5900 tokens and n1 writes for 5 streams
    When a request of 40 tokens comes with objectives of 250 ms and 200 ms
    Then it goes to n1
    And by counts it would go to n0

  # Guards against: a long prompt that makes every stream of a busy head pause.
  Scenario: A long prompt beside running streams
    Given n0 writes for 8 streams and n1 for 3, and n1 reads 2 prompts of 100 tokens
    When a request of 5900 tokens comes with objectives of 1000 ms and 200 ms
    Then it goes to n1
    And by counts it would go to n0

  # Guards against: requests that keep going to a replica whose member is slow, as its
  # count looks like that of any other.
  Scenario: Two heads, one slow member
    Given streams at n0 take 4 times as long as at n1
    When 6 requests of 700 tokens come one after the other and stay
    Then n1 has at least 5 of them

  # Guards against: a correction that is never taken back, as an upstream that is avoided
  # shows nothing.
  Scenario: A slow member that recovers
    Given streams at n0 take 4 times as long as at n1
    When 11 s go by without a request
    And 6 requests of 700 tokens come one after the other and stay
    Then each head has 3 of them

  # Guards against: one absurd observation, or an upstream far from its published times,
  # that takes an upstream out of use altogether.
  Scenario Outline: An upstream far slower than published
    Given n0 takes <factor> times as long as predicted and n1 is excluded
    When a request of 700 tokens comes with objectives of 250 ms and 200 ms
    Then it goes to n0
    And the correction of n0 is at most 8

    Examples:
      | factor |
      | 10     |
      | 100    |

  # Guards against: an engine that crashes since its requests exceed its memory.
  Scenario: A head near its memory
    Given engines whose memory holds 10000 tokens
    And n0 holds 8000 tokens of one stream and n1 writes for 5 streams
    When a request of 3000 tokens comes with objectives of 1000 ms and 200 ms
    Then it goes to n1
    When n1 holds 8000 tokens as well
    And a request of 3000 tokens comes with objectives of 1000 ms and 200 ms
    Then it is refused with no_slot, and the refusal names the tokens held

  # Guards against: an older daemon's heartbeat, which tells counts only, that makes its
  # requests look as if they held nothing.
  Scenario: Another daemon tells no tokens
    Given another daemon has 3 requests at n0 without an event, told without tokens
    And another daemon has 4 requests at n1 without an event, of 40 tokens each
    When a request of 40 tokens comes with objectives of 250 ms and 200 ms
    Then it goes to n1

  # Guards against: a change of behaviour where engine times are not published.
  Scenario: An engine that publishes no times
    Given engine times that are not published
    And n0 reads a prompt of 5900 tokens and n1 writes for 5 streams
    When a request of 40 tokens comes with objectives of 250 ms and 200 ms
    Then it goes to n0

  # Guards against: a peer's unusable figures that cost its other fields, take a head
  # out of use, or fill the log.
  Scenario Outline: A heartbeat with unusable token figures
    Given a daemon that counts tokens
    When a peer reports 2 requests at a head with <figures> as their tokens, 3 times
    Then 2 requests are counted there, told without tokens
    And one line of the log says that its tokens are unreadable

    Examples:
      | figures                    |
      | {"h": [1e30, 5]}           |
      | {"h": [-5, 10]}            |
      | {"h": [10, 5]}             |
      | {"h": "many"}              |
      | {"h": [5, 999999999999]}   |
      | 7                          |

  # Guards against: a heartbeat of a later version, or the tokens of another upstream,
  # that hide usable figures.
  Scenario: A heartbeat with usable figures beside unusable ones
    Given a daemon that counts tokens
    When a peer reports 2 requests at a head with {"x": "many", "h": [700, 1600, 9]} as their tokens, 3 times
    Then 2 requests are counted there, with 700 tokens unread and 1600 held

  # Guards against: tokens told to every daemon, where traffic between failure domains is
  # billed.
  Scenario: Tokens are told within a failure domain
    Given a daemon that counts tokens, with 1 request of 700 tokens at a head
    When it sends heartbeats to a near and a far daemon
    Then both are told of the request, and only the near one of its tokens
