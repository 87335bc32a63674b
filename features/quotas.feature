Feature: Limits divided between daemons

  @point2 @point3
  Scenario: Daemons under every fault never claim more than a limit, nor a host twice
    Given the machine of quotas
    When it is searched with 400 examples of 60 steps
    Then no daemons together claimed more than there is
