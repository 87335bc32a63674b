Feature: A short soak of real daemons

  Scenario: No promise is broken while daemons are killed, paused and cut off
    When seed 1 of the soak is played for 6 s with 3 daemons
    Then no promise was broken
