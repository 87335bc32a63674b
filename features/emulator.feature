Feature: Days that are emulated on virtual time

  Scenario: A replica reads prompts between the tokens of others
    Given a replica that has a stream
    When a prompt of 40 tokens comes beside it, and later one of 6000
    Then the first one lengthens its pauses by less than 0.02 s
    And the second one by 0.1 to 0.2 s

  Scenario: A replica is as slow as its batch and its slowest host
    Given a replica that has a stream
    When 8 more streams have begun beside it
    Then its pauses are longer by 0.008 s
    When one of its hosts turns 3 times as slow
    Then its pauses are 3 times as long

  Scenario: A small day serves everybody in time, and the same again
    Given a small day on which nothing goes wrong
    When it is played twice with seed 1
    Then everybody was served in time
    And both times each request ended the same way at the same time

  Scenario: Streams of lost engines go on elsewhere
    Given a small day on which three engines are lost after 3 s
    When it is played
    Then some were late and nobody was left without an answer

  Scenario: Callers are told to come back while no engine is there
    Given a small day on which everything loses power for 1 s after 3 s
    When it is played
    Then requests of that time failed or were refused, and the last 4 s are served

  Scenario Outline: A day that cannot be played is refused with its line
    Given a small day whose <text> is replaced by <other>
    Then it is refused at line <line> for <reason>

    Examples:
      | text              | other                 | line | reason               |
      | seconds: 10       | secs: 10              | 1    | additionalProperties |
      | seconds: 10       | seconds: ten          | 2    | type                 |
      | faults: []        | faults: [{rain: {}}]  | 3    | additionalProperties |
      | installation.yaml | elsewhere.yaml        | 1    | file                 |
      | faults: []        | faults: [             | 4    | yaml                 |

  Scenario: A change is told with its error over paired seeds
    Given outcomes of 3 seeds that are worth 0.1 less without a mechanism
    Then the summary tells a change of -0.100 with a standard error of 0.000

  Scenario: Every mechanism can be taken out and is put back
    Then a small day can be played without each mechanism, and with all again
