Feature: Prompt parts whose requests end the engines that answer them

  # Guards against one request that ends one engine after the other (BUDGET, issue 33).
  Scenario: A request that ends its engines is sent to two of them
    Given a gateway site with 6 engines
    And the prompt part "dead" ends each engine that begins to answer it
    When 1 request with the part "dead" is sent to each daemon
    Then at most 2 engines have ended
    And the caller receives status 502

  # Guards against requests that go on ending engines, whichever daemon gets them (BUDGET,
  # issue 33).
  Scenario: A part that ends engines is refused by all daemons, and others are served
    Given a gateway site with 10 engines
    And a second daemon
    And the prompt part "dead" ends each engine that begins to answer it
    When 6 requests with the part "dead" are sent to each daemon
    Then at most 5 engines have ended
    And the last request at each daemon was refused at once as blocked_part
    And requests that share all other parts are served by each daemon

  # Guards against a daemon that starts and lets blocked parts through (BUDGET, issue 33).
  Scenario: A daemon that starts refuses what the others have blocked
    Given a gateway site with 10 engines
    And the prompt part "dead" ends each engine that begins to answer it
    When 4 requests with the part "dead" are sent to each daemon
    And a second daemon starts
    And 1 request with the part "dead" is sent to each daemon
    Then at most 5 engines have ended
    And the last request at each daemon was refused at once as blocked_part

  # Guards against blocks that operators do not see or cannot lift (issue 33).
  Scenario: An operator reads and lifts a block
    Given a gateway site with 10 engines
    And the prompt part "dead" ends each engine that begins to answer it
    When 4 requests with the part "dead" are sent to each daemon
    Then the daemon names the blocked part "dead" and lifts it once

  # Guards against callers whose ids hide that their requests end engines (BUDGET, issue
  # 33).
  Scenario Outline: A part that ends engines is refused although its requests have <ids>
    Given a gateway site with 10 engines
    And the prompt part "dead" ends each engine that begins to answer it
    When 6 requests with the part "dead" and <ids> are sent
    Then at most 5 engines have ended
    And the last request at each daemon was refused at once as blocked_part

    Examples:
      | ids                    |
      | one id for all         |
      | ids of 500 characters  |
