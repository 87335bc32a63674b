Feature: Membership of daemons and the links between them

  Scenario: A peer that does not know the shared secret is rejected
    Given daemons a0
    When a peer dials a0 with another secret
    Then the handshake is rejected
    And a0 has no links

  Scenario: A replayed handshake is rejected
    Given daemons a0
    When a peer replays the recorded handshake of another one
    Then the handshake is rejected

  Scenario: A frame above the size limit closes the link, and the next link works
    Given daemons a0 and a1
    When a1 announces a frame above the size limit to a0
    Then a0 closes that link before the link timeout
    And a frame sent on the closed link is dropped
    And a0 and a1 are linked again

  Scenario: A frozen peer is not marked as gone, a killed one is
    Given daemons a0 and a1 and a2
    And every epoch is settled
    When daemon a2 is frozen
    Then a0 finds a2 silent and a0's own share is unchanged
    When daemon a2 is killed
    Then a0 and a1 take over its share

  Scenario: A restart on the same address replaces the old incarnation
    Given daemons a0 and a1
    And every epoch is settled
    When a1 restarts on its address
    Then a0 and the new a1 share the whole limit in one epoch

  @point10
  Scenario: A failure domain that is cut off from the log stays current through its peers
    Given daemons a0 and a1 and b0 and b1
    And every epoch is settled
    When the log is cut off from b
    And a2 joins
    Then b0 and b1 fold its join
    And each failure domain learns the version in force in the other

  Scenario: One pair of daemons links two failure domains, and another pair if one freezes
    Given daemons a0 and a1 and b0 and b1
    And every epoch is settled
    Then exactly one link connects a and b
    When the daemon in b at the end of this link freezes
    Then exactly one link connects a and b

  @point4
  Scenario: A failure domain that is out of service has no share of the plans until it returns
    Given daemons a0 and a1 and b0
    And every epoch is settled
    When operators take b out of service
    Then a has 12 slots of the plan and b has 0
    When operators return b to service
    Then a has 6 slots of the plan and b has 6

  Scenario: A member that is out of service counts as gone after silence, not while it answers
    Given a member that is out of service and answers
    When the maximum pause passes
    Then the member is not gone
    When it falls silent, and its peer is frozen for the maximum pause
    Then the member is not gone
    When the maximum pause passes
    Then the member is gone

  @point2 @point3
  Scenario: A daemon that was paused for too long has no share until a peer has answered
    Given daemons a0 and a1
    And every epoch is settled
    When a0 finds that it was paused for 60 s
    Then a0 has no share
    And a0 has its share again after a new link

  @point2 @point3
  Scenario: A daemon that peers marked as gone during its pause has no share ever again
    Given daemons a0 and a1
    And every epoch is settled
    When a1 marks a0 as gone
    And a0 finds that it was paused for 60 s
    Then a0 has no share
    And a0 learns that it is expelled and a1 takes over its share

  Scenario: A peer that is ahead but does not answer does not block fetches from others
    Given a daemon without the log, and two peers that are ahead and do not answer
    When it fetches for 10 seconds
    Then both peers were asked

  Scenario: A daemon that requests the slots in use receives them from its peers
    Given daemons a0 and a1
    And every epoch is settled
    When a0 uses 3 slots
    Then a1 learns on request that a0 uses 3 slots
