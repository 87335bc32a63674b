Feature: Upstreams that are slower than their peers

  Scenario Outline: Only the slowest few are ejected, and for a while
    Given 10 upstreams of which <slow> answer 10 times as slowly
    Then <ejected> of the slow ones are ejected, and no other
    And those are tried again 30 seconds later

    Examples:
      | slow | ejected |
      | 0    | 0       |
      | 1    | 1       |
      | 4    | 2       |

  Scenario: Two upstreams are too few to tell which one is slow
    Given 2 upstreams of which 1 answer 10 times as slowly
    Then 0 of the slow ones are ejected, and no other
