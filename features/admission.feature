Feature: Who waits for a slot, and who is refused at once

  Background:
    Given a target with 2 slots, whose calls take 0.1 s

  Scenario: A call after a quiet time waits for a slot
    When 4 calls come, 120 s pass, and 4 calls with deadlines in 5 s come
    Then all 8 calls are answered

  Scenario: A call that can't be answered in time is refused at once
    When 4 calls come, 1 s pass, and 60 calls with deadlines in 1.12 s come
    Then between 18 and 24 of the late calls are answered
    And the others are refused within 0.05 s, to return in 2 to 4 s

  Scenario: Calls that are stuck let no others queue behind them for long
    Given its calls are stuck for 100 s
    When 2 calls come, 20 s pass, and 4 calls with deadlines in 9 s come
    Then between 0 and 0 of the late calls are answered
    And the others are refused within 0.05 s, to return in 10 to 30 s
