Feature: Adapters and simulated dependencies

  @point6
  Scenario: A call that was not sent is distinguished from one whose response was lost
    Given a plain service that runs each call and then closes the connection
    When a GET, a POST and a DELETE are sent to it and to a port without a listener
    Then those to the service have an unknown outcome and ran once, the others did not run

  Scenario: An append whose response is lost takes effect and is reported as uncertain
    Given a log that drops the next response
    When a record is appended twice
    Then the first append is uncertain, the second has offset 2 and both are read

  Scenario: A log in an outage refuses immediately and appends nothing
    Given a log in an outage
    When a record is appended
    Then the append fails with a certain outcome and nothing is appended

  Scenario: Parsing of chunks does not depend on block boundaries
    Then encoded chunks split into arbitrary blocks are parsed unchanged

  # Guards against answers of one engine that hold up all other calls: the bytes of an
  # event were parsed again at each read.
  Scenario: The work for an event grows with its length only, and is done in parts
    Then an event 8 times as long takes at most 16 times the work
    And 1000 events that are read at once are parsed in batches of at most 64

  @point1
  Scenario: An engine refuses a call for another incarnation or generation
    Given a replica of two engines
    When calls are sent with the wrong incarnation, the wrong generation and the right ones
    Then only the last one ran, and its response is complete

  @point1
  Scenario: A replica that loses a member ends its stream with an error
    Given a replica of two engines
    When its second host crashes during a stream
    Then the stream ends with an error chunk and the next call is refused as not run

  Scenario: A closed iterator cancels the call at the engine
    Given a replica of two engines
    When a long stream is closed after its first chunk
    Then the engine reports no call in flight

  Scenario: An overloaded cold engine restarts and aborts its streams
    Given a replica of two engines
    When the calls sent at once exceed a cold engine's capacity by one
    Then the engine has a new incarnation and no response is complete
