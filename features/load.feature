Feature: The load tool

  Scenario: Each kind of wrong answer is reported, and a correct daemon has no failures
    Then the load tool reports these failures for each daemon
      | daemon                          | failures                    |
      | answers                         |                             |
      | refuses                         |                             |
      | ends each stream with an error  |                             |
      | cuts the connection             |                             |
      | ends a stream without a marker  | no end marker               |
      | drops a token                   | not its own                 |
      | drops the last token            | not whole                   |
      | answers for another request     | not its own                 |
      | runs an order twice             | order ran 2 times           |
      | refuses what it ran             | told not run, and ran       |
      | answers without running         | answered, and never ran     |
