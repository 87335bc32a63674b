Feature: Limits divided between daemons

  @point2 @point3
  Scenario: Daemons under every fault never claim more than a limit, nor a host twice
    Given the machine of quotas
    When it is searched with 400 examples of 60 steps
    Then no daemons together claimed more than there is

  @point2
  Scenario: No epoch is acknowledged past one that the work in flight does not fit
    Given a daemon that uses all 4 slots in the epoch of its join
    When another joins, and in the next epoch is on the roster of another domain
    Then only the first epoch is acknowledged
    When 2 calls end
    Then all three epochs are acknowledged
