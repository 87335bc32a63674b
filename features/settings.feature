Feature: Settings of a daemon

  Scenario: The annotated example has no findings
    When the example settings are read
    Then there are no findings

  Scenario Outline: An invalid setting is reported with its line
    Given the example settings with "<old>" replaced by "<new>"
    When the settings are read
    Then the finding is <code> at <key>, on the replaced line

    Examples:
      | old                            | new                     | code             | key                      |
      | name: fd1-a                    | name: FD1               | pattern          | name                     |
      | internal: 127.0.0.1:8101       | internal: somewhere     | pattern          | listen.internal          |
      | internal: 127.0.0.1:8101       | internal: 127.0.0.1:8100 | repeated        | listen.internal          |
      | secret: an-example-secret-of-the-daemons | secret: short | minLength        | secret                   |
      | operator_key: an-example-key-of-operators | operator_key: an-example-secret-of-the-daemons | repeated | operator_key |
      | default_deadline_s: 30         | default_deadline_s: 900 | range            | calls.default_deadline_s |
      | - name: fd1-b                  | - name: fd1-a           | repeated         | seeds.0.name             |
      | body_bytes: 1048576            | body_bytes: many        | type             | calls.body_bytes         |

  Scenario: All invalid settings are reported together
    Given the example settings with "name: fd1-a" replaced by "name: FD1"
    And also "body_bytes: 1048576" replaced by "body_bytes: many"
    When the settings are read
    Then there are 2 findings
