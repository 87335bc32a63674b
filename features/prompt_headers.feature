Feature: Values of headers about prompts and limits

  # Guards against prompt prefixes that are misread, or that hide parts (issue 33).
  Scenario Outline: The prompt prefix "<prefix>" names the shared parts "<parts>"
    Given a request with the prompt prefix "<prefix>"
    When the platform adapter reads its headers
    Then its shared prompt parts are "<parts>"
    And the prefix counts as malformed: <malformed>

    Examples:
      | prefix                     | parts    | malformed |
      |                            |          | no        |
      | a1:800                     |          | no        |
      | a1:800,b2:410,c3:250       | a1 b2    | no        |
      | A1:800, b2:410 ,c3:250     | a1 b2    | no        |
      | a1:800,a1:800,c3:250       | a1       | no        |
      | a1:800,soon,c3:250         | a1       | yes       |
      | a1:800,0xb2:410,c3:250     | a1       | yes       |
      | a1:800,b2:,c3:250          | a1       | yes       |
      | a1:800,b2:-4,c3:250        | a1       | yes       |
      | a1:800,b2:410,             | a1 b2    | yes       |
      | ,,,                        |          | yes       |

  # Guards against parts that a second header hides (issue 33).
  Scenario: A prompt prefix in two headers is read as one list
    Given a request with the prompt prefix "a1:800,b2:410"
    And a second header with the prompt prefix "c3:100,d4:250"
    When the platform adapter reads its headers
    Then its shared prompt parts are "a1 b2 c3"

  # Guards against limits that bad values change (issue 33).
  Scenario Outline: The limit "<text>" of an upstream is read as <limit>
    Then the limit "<text>" is read as <limit>

    Examples:
      | text                     | limit  |
      | 1.8                      | 1.8    |
      | 12                       | 12.0   |
      | 0.05                     | 0.05   |
      | 0                        | None   |
      | 0.000                    | None   |
      | -3                       | None   |
      | 1e9                      | None   |
      | nan                      | None   |
      | inf                      | None   |
      | 1,8                      | None   |
      | soon                     | None   |
      | 12345678901              | None   |
      | 1.80000000000000000000   | None   |
