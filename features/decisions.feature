Feature: Structured logs of decisions

  Scenario: A flood of one kind of line leaves room for the others
    Given decisions of which 5 lines of a kind are written in a second
    When 100 requests are refused and 1 belief changes in one second
    Then 5 refusals and the change of belief are written
    And the next refusal, a second later, tells that 95 were left out

  Scenario: A reader that stops reading blocks nothing and tears no line
    Given decisions to a pipe that nobody reads
    When 20000 lines are written in little time
    And the reader reads again while further lines are written
    Then every line that it reads is whole
    And the lines that were dropped are counted

  Scenario: No key, body or prompt is ever logged
    Given a gateway site that logs to a file
    When requests are answered, refused and resumed there
    Then no line holds a key or a body
    And each request has a line with its outcome and what decided it

  Scenario: The metrics tell what a daemon does and believes
    Given a gateway site that logs to a file
    When requests are answered, refused and resumed there
    Then its metrics hold these lines
      | auburnproxy_configuration_version{state="",target=""} 1.0                              |
      | auburnproxy_hosts{state="",target="engines"} 2.0                                       |
      | auburnproxy_replicas{state="serving",target="large"} 2.0                               |
      | auburnproxy_daemons{state="",target=""} 0.0                                            |
      | auburnproxy_in_flight{state="",target=""} 0.0                                          |
      | auburnproxy_retried_total{code="stalled",plan="",target="engines"} 1.0                 |
      | auburnproxy_resumed_total{code="",plan="works",target="engines"} 1.0                    |
      | auburnproxy_refused_total{code="unauthenticated",plan="",target=""} 1.0                |
      | auburnproxy_between_chunks_seconds_count{plan="works",target="engines"} 10.0            |
      | auburnproxy_queue_wait_seconds_count{plan="works",target="engines"} 2.0                 |
    And its metrics count readings of the store by topic and outcome
    And its metrics tell the age of each topic's records
