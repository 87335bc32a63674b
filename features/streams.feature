Feature: Complete answers in order despite engine failures

  @point5
  Scenario: No caller gets a wrong answer, or a partial one marked as complete
    When a stateful test searches streams for wrong answers
    Then the stream search found none

  @point5
  Scenario: An answer is resumed at another engine after a stall
    Given 2 engines of which the one in use stalls after 2 chunks
    When an answer of 5 chunks is requested
    Then all chunks arrive within 8 s, the second engine starting at chunk 2

  @point1
  Scenario: A replica that is lost after it was chosen gets no call
    Given a replica that was chosen
    When it is lost before the dispatch
    Then the dispatch is refused as not run and nothing was sent

  Scenario: A caller that disconnects just as it is granted a slot holds none
    Given a caller that waits for the only slot
    When the slot is freed and the caller disconnects in the same loop iteration
    Then no slot is held

  Scenario: A request that fails everywhere spends no more than the retry budget
    Given engines that fail during every answer
    When 100 requests are made
    Then at most 120 calls reach the engines

  Scenario: The loss of an engine does not reduce the slots of a plan
    Given 8 calls of a plan of 8 slots on 2 engines
    When one engine resets its calls
    Then all 8 calls are in flight at once again

  Scenario: A call whose replicas are considered lost is dispatched at most 3 times (BUDGET)
    Given 8 running engines whose replicas are considered lost 6 times
    When an answer of 40 chunks is requested
    Then 3 calls have reached the engines, and the caller is told that it may have run

  Scenario: A call is resumed each time its engine restarts
    Given 8 engines of which the one in use restarts 6 times
    When an answer of 40 chunks is requested
    Then 7 calls have reached the engines, and the answer is complete
