Feature: Choice of a peer for a call without a local slot

  Background:
    Given near peers a1 and a2, and far peers b1, b2 in domain b and c1 in domain c

  Scenario: The near peer with the most free slots goes first
    Given a1 reports 2 and a2 reports 3 free slots of plan and target
    Then peer a2 is chosen

  Scenario: A near peer without a free slot of the plan is skipped
    Given a1 reports 2 and a2 reports 3 free slots of the target, only a1 of the plan
    Then peer a1 is chosen

  Scenario: Far domains are probed in turn when no near peer has a slot
    Then 3 choices go to domains b, c, b

  Scenario: A far domain that refused a probe is not probed for a while
    When a far peer of domain b refuses
    Then 3 choices go to domains c, c, c
    And 2 s later 2 choices go to both domains

  Scenario: A call that has already failed elsewhere is not used as a probe
    Then no peer is chosen for a call that has failed on b1

  Scenario: A call that can't get a local slot queues at a peer that has shares
    Given near peers a1 and a2 have shares and this daemon has none
    Then a call queues at a1 or a2, not here
    And a call that found no free slot at a1 and a2 still queues at one of them
    And a call that a1 refused to queue is queued at a2
    And a call that both refused to queue is queued in another domain

  Scenario: A call queues here if this daemon has shares
    Then a call queues here

  Scenario: A call queues in another domain if no daemon of this one has shares
    Given no daemon of this domain has shares
    Then a call queues at far peers, at most 4 of them, and not here
