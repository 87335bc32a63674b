Feature: Decision log and metrics of a daemon

  Scenario: The rate limit applies to each kind of line separately
    Given a decision log limited to 5 lines of a kind per second
    When 100 refusals and 1 change of belief are logged within one second
    Then 5 refusals and the change of belief are written
    And the next refusal, one second later, reports 95 omitted lines

  Scenario: A reader that stops does not block the daemon and sees only complete lines
    Given a decision log that writes to a pipe without an active reader
    When 20000 lines are logged within 5 s
    And the reader resumes while further lines are logged
    Then every line that it reads is complete
    And the dropped lines are counted

  Scenario: No API key, body or prompt is ever logged
    Given a gateway site that logs to a file
    When it answers, refuses and resumes requests
    Then no log line contains an API key or a body
    And each request has a line with its outcome and the state that decided it

  Scenario: The metrics show the activity of a daemon and its view of the system
    Given a gateway site that logs to a file
    When it answers, refuses and resumes requests
    Then its metrics contain these lines
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
    And its metrics count the reads of the store by topic and outcome
    And its metrics contain the age of each topic's records
