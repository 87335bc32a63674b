Feature: The memory of the bodies in flight

  # Guards against bodies that stop short and keep the memory from all others.
  Scenario: A body that has not progressed makes room for another one
    Given memory for 4,000,000 bytes of bodies
    When a body of 2,500,000 bytes stalls for 1.5 s
    Then a body of 2,000,000 bytes has room, and the stalled one is given up

  # Guards against slow bodies that lose their place to faster ones.
  Scenario: A body that progresses keeps its room
    Given memory for 4,000,000 bytes of bodies
    When a body of 2,500,000 bytes stalls for 0.5 s
    Then a body of 2,000,000 bytes is refused, and nothing is given up

  # Guards against large bodies that shut out the requests of ordinary callers.
  Scenario: Large bodies leave room for small ones
    Given memory for 4,000,000 bytes of bodies
    When a body of 3,000,000 bytes stalls for 0.0 s
    Then a body of 1,000 bytes has room, and nothing is given up
    And a body of 900,000 bytes is refused, and nothing is given up

  # Guards against more being given up than is needed.
  Scenario: The body that holds most for longest is given up first
    Given memory for 4,000,000 bytes of bodies
    When a body of 1,000,000 bytes stalls for 1.5 s
    And a body of 2,000,000 bytes stalls for 1.5 s
    Then a body of 1,500,000 bytes has room, and the 2,000,000 bytes are given up
