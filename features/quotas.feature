Feature: Limits divided between daemons

  @point2 @point3
  Scenario: Daemons under every fault never claim more than a limit, nor a host twice
    Given the machine of quotas
    When it is searched with 400 examples of 60 steps
    Then no daemons together claimed more than there is

  @point3
  Scenario: No epoch is acknowledged past one that the work in flight does not fit
    Given a daemon that uses all 4 slots in the epoch of its join
    When another joins, and in the next epoch is on the roster of another domain
    Then only the first epoch is acknowledged
    When 2 calls end
    Then all three epochs are acknowledged

  @point3
  Scenario: Calls of a dead daemon count at the upstream until they have ended
    Given two daemons, a0 and a1, that share 4 slots of which a1 uses 2
    When a1 dies and a0 knows it
    Then a0 may use 2 slots
    When the upstream reports 2 calls, and the leave of a1 is recorded
    Then a0 may use 2 slots
    When a1 starts anew and both obey its epoch
    Then neither has more than the dead one left
    When the upstream reports no calls
    Then together they may use 4 slots

  Scenario: A failure domain counts until the last process that could act there is gone
    Given a daemon a0, and daemons c0 and c1 of another failure domain
    When c0 starts in a third domain at another address, and c1 leaves
    Then a0 keeps to the divisions that have a part for c
    When a0 finds that nothing listens at the old address of c0
    Then a0 has its part of the newest division

  Scenario: A checkpoint carries every epoch that may not be settled
    Given a daemon a0, and daemons c0 and c1 of another failure domain
    When c0 starts in a third domain at another address, and c1 leaves
    Then the roster of a checkpoint is the same
