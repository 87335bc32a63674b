Feature: Examples that embed parts of the project

  Scenario: The journal accepts one of two concurrent requests for the last rolls
    When the example "journal" is run
    Then it prints
      """
      offset 1: accepted
      offset 2: sold_out
      left: [1, 1]
      """

  Scenario: Shares never add up to more than the limit while a process joins
    When the example "quotas" is run
    Then it prints
      """
      two processes: {'a': 4, 'b': 4}
      one joins, not all have seen it: {'a': 3, 'b': 2, 'c': 0}
      all have seen it: {'a': 3, 'b': 2, 'c': 3}
      one is gone for good: {'b': 4, 'c': 4}
      """
