Feature: Validation of YAML documents

  Scenario: Every finding is reported with its line and key
    Given the document
      """
      name: 3
      ports:
        peer: none
      """
    When it is validated with name as a string and ports.peer as an integer
    Then the findings are
      | line | key        | code |
      | 1    | name       | type |
      | 3    | ports.peer | type |

  Scenario: Malformed YAML is reported with its line
    Given the document
      """
      name: [1
      ports: }
      """
    When it is parsed
    Then the findings are
      | line | key | code |
      | 2    |     | yaml |

  Scenario: A repeated key is reported
    Given the document
      """
      name: a
      name: b
      """
    When it is parsed
    Then the findings are
      | line | key  | code     |
      | 2    | name | repeated |
