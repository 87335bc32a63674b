Feature: Simulation of days on virtual time

  Scenario: Prefill of a prompt delays the tokens of other requests in the batch
    Given a replica with one running stream
    When a prompt of 40 tokens joins the batch, and later one of 6000
    Then the first prompt lengthens the pauses of the stream by less than 0.02 s
    And the second prompt lengthens them by 0.1 to 0.2 s

  Scenario: Step time grows with the batch and with the slowest host
    Given a replica with one running stream
    When 8 more streams join the batch
    Then the pauses of the stream are longer by 0.008 s
    When one of its hosts becomes 3 times as slow
    Then the pauses of the stream are 3 times as long

  Scenario: A day without faults is served in time and is reproducible
    Given a small day without faults
    When it is simulated twice with seed 1
    Then all requests were served in time
    And both runs have the same outcome and times for each request

  Scenario: Streams of lost engines resume on other engines
    Given a small day with three engines lost after 3 s
    When it is simulated
    Then some requests were late and all were answered

  # Guards against a prompt part that ends the engines of a whole day (issue 33).
  Scenario: A deadly prompt part ends few engines
    Given a small day with a deadly prompt part from 2 s on
    When it is simulated
    Then at most 6 requests failed and the others were served or refused

  # Guards against engines that get more than the limits they name (LIMIT, issue 33).
  Scenario: Engines that name limits get no more
    Given a small day on which all engines name a limit of 1 a second for 7 s after 2 s
    When the day is played and the requests at engines with a limit are counted
    Then from 3 s on none of them got more than 11 in 4 s

  Scenario: Requests fail or are refused while no engine is available
    Given a small day with a power failure of everything for 1 s after 3 s
    When it is simulated
    Then requests of that time failed or were refused, and the last 4 s were served

  Scenario Outline: An invalid day file is rejected with the line of the error
    Given a small day file in which <text> is replaced by <other>
    Then it is rejected at line <line> with code <code>

    Examples:
      | text              | other                 | line | code                 |
      | seconds: 10       | secs: 10              | 1    | additionalProperties |
      | seconds: 10       | seconds: ten          | 2    | type                 |
      | faults: []        | faults: [{rain: {}}]  | 3    | additionalProperties |
      | installation.yaml | elsewhere.yaml        | 1    | file                 |
      | faults: []        | faults: [             | 4    | yaml                 |

  Scenario: The summary reports the change and its standard error over paired seeds
    Given outcomes of 3 seeds whose worth is 0.1 lower without a mechanism
    Then the summary shows a change of -0.100 with a standard error of 0.000

  Scenario: Every mechanism can be disabled and is restored afterwards
    Then a small day can be simulated without each mechanism, and all are restored
