Feature: Daemons that are each other's peers

  Scenario: A peer that does not know the secret is turned away
    Given daemons a0
    When a peer dials a0 with another secret
    Then the greeting is refused
    And a0 has no links

  Scenario: An answer recorded from an earlier greeting proves nothing
    Given daemons a0
    When a peer replays the greeting of another that linked before
    Then the greeting is refused

  Scenario: A frame above the bound ends the link and the next link works
    Given daemons a0 and a1
    When a1 announces a frame above the bound to a0
    Then a0 ends that link without waiting for its silence
    And a beat to an ended link does no harm
    And a0 and a1 are linked again

  Scenario: A frozen peer is not taken for gone, a killed one is
    Given daemons a0 and a1 and a2
    And every epoch is settled
    When daemon a2 is frozen
    Then a0 finds a2 silent and keeps its share unchanged
    When daemon a2 is killed
    Then a0 and a1 have its share

  Scenario: A restart on the same address replaces the old incarnation
    Given daemons a0 and a1
    And every epoch is settled
    When a1 restarts on its address
    Then a0 and the new a1 share everything in one epoch

  @point10
  Scenario: A failure domain that is cut off from the log stays current through its peers
    Given daemons a0 and a1 and b0 and b1
    And every epoch is settled
    When the log is cut off from b
    And a2 joins
    Then b0 and b1 fold its join
    And each failure domain is told what the other has in force

  Scenario: One pair of daemons links two failure domains, and the next one when one freezes
    Given daemons a0 and a1 and b0 and b1
    And every epoch is settled
    Then one link joins a and b
    When the end of this link in b freezes
    Then one link joins a and b

  @point4
  Scenario: A failure domain that is out has no part of the plans until it is back
    Given daemons a0 and a1 and b0
    And every epoch is settled
    When operators take b out
    Then the plan is divided into a 12 and b 0
    When operators bring b back
    Then the plan is divided into a 6 and b 6

  Scenario: A member that is out is gone after silence, but not while it answers
    Given a member that is out and answers
    When the pause bound passes
    Then the member is not gone
    When it falls silent, and its peer is frozen for the pause bound
    Then the member is not gone
    When the pause bound passes
    Then the member is gone

  @point2 @point3
  Scenario: A daemon that was paused past the bound holds nothing until a peer has answered
    Given daemons a0 and a1
    And every epoch is settled
    When a0 finds that it was paused for 60 s
    Then a0 holds nothing
    And a0 has its share again after a new link

  @point2 @point3
  Scenario: A daemon that peers took for gone during its pause holds nothing for good
    Given daemons a0 and a1
    And every epoch is settled
    When a1 takes a0 for gone
    And a0 finds that it was paused for 60 s
    Then a0 holds nothing
    And a0 learns that it is expelled and a1 has its share

  Scenario: A peer that is ahead but relays nothing does not keep others from being asked
    Given a daemon without the log, and two peers that are ahead and answer nothing
    When it fetches for 10 seconds
    Then both peers were asked

  Scenario: A daemon that counts is told of the slots that its peers use
    Given daemons a0 and a1
    And every epoch is settled
    When a0 uses 3 slots
    Then a1 learns that a0 uses 3 slots while it asks
