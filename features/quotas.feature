Feature: Limits divided among daemons

  @point2 @point3
  Scenario: Under faults, daemons never claim more than a limit or own a host twice
    Given the state machine for quotas
    When it runs 400 examples of 60 steps
    Then the daemons never claimed more than a limit together

  @point3
  Scenario: No epoch is acknowledged beyond one that the calls in flight do not fit
    Given a daemon that uses all 4 slots in the epoch of its join
    When another joins, and moves to another failure domain in the next epoch
    Then only the first epoch is acknowledged
    When 2 calls end
    Then all three epochs are acknowledged

  @point3
  Scenario: Calls of a dead daemon count at the upstream until they have ended
    Given two daemons, a0 and a1, that share 4 slots of which a1 uses 2
    When a1 dies and a0 detects it
    Then a0 may use 2 slots
    When the upstream reports 2 calls, and the leave of a1 is recorded
    Then a0 may use 2 slots
    When a1 restarts and both obey its epoch
    Then together they may use only the 2 remaining slots
    When the upstream reports no calls
    Then together they may use 4 slots

  Scenario: A failure domain keeps its share until all its processes are gone
    Given a daemon a0, and daemons c0 and c1 of another failure domain
    When c0 restarts in a third domain at another address, and c1 leaves
    Then a0 obeys the divisions that have a share for c
    When a0 finds that nothing listens at the old address of c0
    Then a0 has its share of the newest division

  Scenario: A checkpoint contains every epoch that may not be settled yet
    Given a daemon a0, and daemons c0 and c1 of another failure domain
    When c0 restarts in a third domain at another address, and c1 leaves
    Then the roster restored from a checkpoint is the same
