Feature: Adapters against the stand-ins

  @point6
  Scenario: A call that was never sent is told apart from one whose answer was lost
    Given a plain service that runs each call and then breaks the connection
    When a GET, a POST and a DELETE are called there and where nothing listens
    Then those that were sent are unknown and ran once, the others did not run

  Scenario: An append whose answer is lost took effect and is reported as uncertain
    Given a log that loses the next answer
    When a record is appended twice
    Then the first append is uncertain, the second has offset 2 and both are read

  Scenario: A log under an outage refuses at once and appends nothing
    Given a log in an outage
    When a record is appended
    Then it was surely not appended

  Scenario: Chunks are the same however the bytes arrive
    Then any chunks cut into any blocks are parsed as they were rendered

  @point1
  Scenario: An engine refuses a call that is meant for another start or generation
    Given a replica of two engines
    When calls are sent with the wrong incarnation, the wrong generation and the right ones
    Then only the last one ran, and its answer is whole

  @point1
  Scenario: A replica with a dead member ends its stream with an error
    Given a replica of two engines
    When its second host dies during a stream
    Then the stream ends with an error chunk and the next call is refused as not run

  Scenario: A closed iterator cancels the call at the engine
    Given a replica of two engines
    When a long stream is closed after its first chunk
    Then the engine soon reports nothing in flight

  Scenario: A cold engine under too many calls starts anew and cuts its streams
    Given a replica of two engines
    When one call more than a cold engine bears is sent at once
    Then the engine has a new incarnation and no answer is whole
