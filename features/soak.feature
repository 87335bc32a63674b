Feature: Short soak test of real daemons

  Scenario: No guarantee is violated while daemons are killed, paused and partitioned
    When seed 1 of the soak test is run for 6 s with 3 daemons
    Then no guarantee was violated

  # Guards against responses that end early while a daemon is stopped or reloaded.
  Scenario: No request is lost while daemons are stopped, reloaded and reconfigured
    When seed 2 of the soak test is run for 6 s with 3 daemons
    Then no guarantee was violated
