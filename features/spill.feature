Feature: The choice of a peer for a call that has no slot here

  Background:
    Given near peers a1 and a2, and far peers b1, b2 in domain b and c1 in domain c

  Scenario: The near peer with the most free slots goes first
    Given a1 tells of 2 and a2 of 3 free slots of plan and target
    Then peer a2 is chosen

  Scenario: A near peer without a slot of the plan is passed over
    Given a1 tells of 2 and a2 of 3 free slots of the target, only a1 of the plan
    Then peer a1 is chosen

  Scenario: Far domains are probed in turn when no near peer has a slot
    Then 3 choices go to domains b, c, b

  Scenario: A far domain that refused is left alone for a while
    When a far peer of domain b refuses
    Then 3 choices go to domains c, c, c
    And 2 s later 2 choices go to both domains

  Scenario: A call that failed elsewhere already is not used as a probe
    Then no peer is chosen for a call that has failed on b1

  Scenario: A call that can't get a slot here waits at a peer that has shares
    Given near peers a1 and a2 have shares and this daemon has none
    Then a call waits at a1 or a2, not here
    And a call that found no free slot at a1 and a2 still waits at one of them
    And a call that a1 let not wait waits at a2
    And a call that both let not wait waits in another domain

  Scenario: A call waits here where this daemon has shares
    Then a call waits here

  Scenario: A call waits in another domain where this one serves nothing
    Given no daemon of this domain has shares
    Then a call waits at far peers, at most 4 of them, and not here
