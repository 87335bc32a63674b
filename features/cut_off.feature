Feature: Requests that are still in flight when a daemon must end

  Scenario Outline: A request that is cut off is answered truthfully and leaves a line
    Given a gateway site
    When <request> is cut off
    Then its caller gets <answer>
    And the log says that it was <phase> and ran <ran>

    Examples: of requests
      | request                            | answer              | phase        | ran     |
      | a request with half of its body    | a refusal           | reading_body | no      |
      | a request at an engine             | an unknown outcome  | at_upstream  | unknown |
      | a stream of HTTP/1.1 that has begun | an incomplete stream | at_upstream | unknown |
      | a stream of HTTP/1.0 that has begun | a reset connection  | at_upstream | unknown |

  Scenario: A request that a caller reads too slowly is cut off with its unsent bytes
    Given a gateway site
    When a large answer that its caller does not read is cut off
    Then its caller gets an incomplete answer
    And the log gives the bytes that were not sent

  Scenario: Callers are answered when the reader of the log has gone
    Given a gateway site whose log has lost its reader
    When a caller sends a request
    Then it is answered
