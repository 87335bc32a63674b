Feature: Measures of a daemon

  Scenario: Reports of two daemons merge into the histogram of all their calls
    Given 100 first chunks of 100 ms at one daemon and 100 of 300 ms at another
    When their reports are merged
    Then the merged histogram counts 200 with its p50 at 100 ms and its p99 at 300 ms

  Scenario: The number of histograms is bounded
    Given a daemon that keeps 8 histograms
    When 100 plans are measured
    Then it holds 8 own histograms and one for all others, which counts 92

  Scenario: Measures are exposed for each plan and target
    Given 100 first chunks of 100 ms at one daemon and 100 of 300 ms at another
    When the first daemon's measures are exposed
    Then the text holds auburnproxy_first_chunk_seconds_count{plan="works",target="quote"} 100.0
