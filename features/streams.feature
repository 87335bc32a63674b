Feature: Whole answers in order, whatever becomes of the engines

  @point5
  Scenario: No caller gets a wrong or a falsely whole answer
    When streams are searched for wrong answers
    Then none was found by the stream search

  @point5
  Scenario: A silent engine is left and the answer resumed elsewhere
    Given 2 engines of which the one in use falls silent after 2 chunks
    When an answer of 5 chunks is asked for
    Then all chunks came within 8 s, the second engine beginning at chunk 2

  @point1
  Scenario: A replica that is lost after the choice gets no call
    Given a replica that was chosen
    When it is lost before the dispatch
    Then the dispatch is refused as not run and nothing was sent

  Scenario: A caller that leaves in the turn of its placement holds nothing
    Given a caller that waits for the only slot
    When the slot is freed and the caller leaves in the same turn
    Then no slot is held

  Scenario: A request that fails everywhere spends no more than the retry budget
    Given engines that break off every answer
    When 100 requests are made
    Then at most 120 calls reach the engines

  Scenario: The loss of an engine takes nothing of its plan's slots
    Given 8 calls of a plan of 8 slots on 2 engines
    When one engine breaks off its calls
    Then all 8 calls are in flight at once again

  Scenario: A call whose replicas are taken for lost is dispatched 3 times at most (BUDGET)
    Given 8 engines that run, and whose replicas are taken for lost 6 times
    When an answer of 40 chunks is asked for
    Then 3 calls have reached the engines, and the caller is told that it may have run

  Scenario: A call whose engines restart goes on each time
    Given 8 engines of which the one in use restarts 6 times
    When an answer of 40 chunks is asked for
    Then 7 calls have reached the engines, and the answer is whole
