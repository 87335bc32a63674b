Feature: Limits that upstreams name hold for all daemons together

  # Guards against upstreams that get more than they say they take (LIMIT, issue 33).
  Scenario Outline: The <kind> that names a limit gets no more from three daemons
    Given a gateway site with three daemons
    And the <kind> <name> names a limit of 1.5 requests a second
    When 30 <requests> a second are sent for 8 s
    Then from 3 s on the <kind> <name> gets at most 14 requests in 4 s
    And from 3 s on it gets at least 3 requests in 4 s
    And at least 0.95 of the requests are served

    Examples:
      | kind         | name | requests |
      | engine       | e0   | streams  |
      | plain engine | p0   | orders   |

  # Guards against shares of a limit that add up to more, or lie idle (LIMIT, issue 33).
  Scenario Outline: <daemons> daemons, <busy> of them busy, use a limit of <limit> a second
    Given <daemons> daemons that lose <loss> of their datagrams
    And an upstream that names a limit of <limit> requests a second
    When <busy> daemons get <rate> requests a second together for 60 s
    Then the upstream gets at most 1.2 times the limit and 4 requests more in 4 s
    And it gets at least <used> of what the limit allows

    Examples:
      | daemons | busy | limit | rate | loss | used |
      | 6       | 6    | 1.8   | 20   | 0.02 | 0.75 |
      | 6       | 1    | 1.8   | 20   | 0.02 | 0.75 |
      | 6       | 6    | 0.1   | 20   | 0.02 | 0.75 |
      | 6       | 6    | 5     | 40   | 0.02 | 0.7  |
      | 8       | 8    | 1     | 200  | 0.02 | 0.75 |
      | 195     | 195  | 1     | 200  | 0.02 | 0.75 |
      | 195     | 4    | 1     | 20   | 0.02 | 0.75 |
      | 6       | 6    | 36    | 200  | 0    | 0.9  |

  # Guards against limits that a restarted daemon does not know (LIMIT, issue 33).
  Scenario: A daemon that has just started observes the limit
    Given 6 daemons that lose 0.02 of their datagrams
    And an upstream that names a limit of 1 requests a second
    When a daemon starts in place of another every 2 s, and all are busy for 30 s
    Then the upstream gets at most 1.2 times the limit and 4 requests more in 4 s

  # Guards against limits that outlive what the upstream says (issue 33).
  Scenario: A limit ends at all daemons with an answer that no longer names it
    Given 6 daemons that lose 0.02 of their datagrams
    And an upstream that names a limit of 1 requests a second
    When a request that was sent before the limit is answered without it
    Then all daemons hold the limit
    When a request that was sent after the limit is answered without it
    Then no daemon holds the limit

  # Guards against urgent requests that are refused for others (issue 33).
  Scenario: The less urgent requests leave the limit to the urgent ones
    Given 6 daemons that lose 0.02 of their datagrams
    And an upstream that names a limit of 2 requests a second
    When urgent and less urgent requests come alike, 3 a second in all, for 120 s
    Then a larger part of the urgent ones is sent to it
