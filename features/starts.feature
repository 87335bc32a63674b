Feature: A daemon on the users' platform starts whatever it meets

  # Guards against a process that ends again and again until a port is free.
  Scenario Outline: A start whose <port> port is held waits and says why
    Given a real daemon whose <port> port is held by another socket
    When it runs for 2 s
    Then its process runs, and its log names the held port once
    When the port becomes free
    Then the daemon is ready and serves a request

    Examples:
      | port      |
      | heartbeat |
      | internal  |
      | metrics   |
      | readiness |
      | callers'  |

  # Guards against callers that the load balancer sends to a port that is not open.
  Scenario: A daemon whose callers' port is held is not ready
    Given a real daemon whose callers' port is held by another socket
    When it runs for 2 s
    Then it answers the readiness check with 503
    And SIGTERM ends it with 0

  # Guards against settings with keys that the platform leaves empty.
  Scenario Outline: A daemon starts with <settings>
    Given a real daemon with <settings>
    When it runs for 2 s
    Then the daemon is ready and serves a request

    Examples:
      | settings                       |
      | bounds and limits empty        |
      | grace-s and cpu-share empty    |
      | bounds of another type         |
      | figures out of range           |

  # Guards against a process that ends again and again until its settings are mended.
  Scenario: A daemon whose settings lack an address waits for better ones
    Given a real daemon with no readiness address
    When it runs for 2 s
    Then its process runs, and its output names the finding once
    When the settings are replaced by sound ones
    Then the daemon is ready and serves a request

  # Guards against a start that fails without a reason in the log.
  Scenario: A start that cannot succeed says why and ends with 70
    Given a real daemon with a foreign address for callers
    When its address can never be bound
    Then its process ends with 70, and its last lines say why

  # Guards against bodies that take more memory than the host has.
  Scenario: Many large bodies at once stay within the memory of the host
    Given a real daemon with a memory of 300 MB
    When 60 callers send it bodies of 4 MB at once
    Then each caller is served or refused as not run, and some are served
    And its peak memory was below 300 MB
