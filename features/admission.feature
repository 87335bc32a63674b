Feature: Queueing of calls for a slot, and early refusal

  Background:
    Given a target with 2 slots, whose calls take 0.1 s

  Scenario: Calls after a quiet time wait for a slot
    When 4 calls arrive, 120 s pass, and 4 calls with deadlines in 5 s arrive
    Then all 8 calls are answered

  Scenario: A call that can't be answered in time is refused at once
    When 4 calls arrive, 1 s pass, and 60 calls with deadlines in 1.12 s arrive
    Then between 18 and 24 of the later calls are answered
    And the others are refused within 0.05 s, with Retry-After of 2 to 4 s

  Scenario: Calls are refused early if those that hold the slots are stuck
    Given its calls are stuck for 100 s
    When 2 calls arrive, 20 s pass, and 4 calls with deadlines in 9 s arrive
    Then between 0 and 0 of the later calls are answered
    And the others are refused within 0.05 s, with Retry-After of 10 to 30 s

  # Calls waited for slots until their daemon cut them off, or after they had run in part
  Scenario Outline: Calls that a stopping daemon can't answer are refused at once
    When 4 calls arrive, 1 s pass, and 60 calls arrive <when> a stop within 1.12 s begins
    Then between 18 and 24 of the later calls are answered
    And the others are refused within 0.05 s as draining

    Examples:
      | when   |
      | before |
      | after  |
