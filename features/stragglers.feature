Feature: Upstreams that are slower than their peers

  Scenario Outline: Only a fraction of slow upstreams is ejected, and only temporarily
    Given 10 upstreams of which <slow> have 10 times the latency
    Then <ejected> of the slow ones are ejected, and no other
    And the ejected ones are readmitted 30 seconds later

    Examples:
      | slow | ejected |
      | 0    | 0       |
      | 1    | 1       |
      | 4    | 2       |

  Scenario: Neither of two upstreams is ejected, as two are too few to compare
    Given 2 upstreams of which 1 have 10 times the latency
    Then 0 of the slow ones are ejected, and no other
