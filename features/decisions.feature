Feature: Structured logs of decisions

  Scenario: A flood of one kind of line leaves room for the others
    Given decisions of which 5 lines of a kind are written in a second
    When 100 requests are refused and 1 belief changes in one second
    Then 5 refusals and the change of belief are written
    And the next refusal, a second later, tells that 95 were left out

  Scenario: A reader that stops reading blocks nothing and tears no line
    Given decisions to a pipe that nobody reads
    When 20000 lines are written in little time
    And the reader reads again while further lines are written
    Then every line that it reads is whole
    And the lines that were dropped are counted

  Scenario: No key, body or prompt is ever logged
    Given a routed site that logs to a file
    When requests are answered, refused and resumed there
    Then no line holds a key or a body
    And each request has a line with its outcome and what decided it
