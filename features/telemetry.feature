Feature: Metrics of a daemon

  Scenario: Merging the reports of two daemons gives a histogram of all their calls
    Given one daemon with 100 first-chunk times of 100 ms and another with 100 of 300 ms
    When their reports are merged
    Then the merged histogram has 200 values with a p50 of 100 ms and a p99 of 300 ms

  Scenario: The number of histograms is bounded
    Given a daemon limited to 8 histograms
    When a duration is recorded for each of 100 plans
    Then it has 8 histograms and a shared one for all other plans with 92 values

  Scenario: Metrics are exposed for each plan and target
    Given one daemon with 100 first-chunk times of 100 ms and another with 100 of 300 ms
    When the first daemon's metrics are exposed
    Then the exposition contains the line auburnproxy_first_chunk_seconds_count{plan="works",target="quote"} 100.0
