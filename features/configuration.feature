Feature: The operators' lists are validated together

  Scenario: All findings of both list files are reported together
    Given the plans file
      """
      plans:
        - name: works
          key_digests: ["aa"]
          weight: 0
          concurrent: 4
        - name: works
          key_digests: [0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef]
          concurrent: 2
        - name: print
          key_digests: [0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef]
          concurrent: 2
          colour: red
      """
    And the grants file
      """
      grants:
        - {plan: wroks, model: quotes}
        - {plan: works, model: quotes, service: stock}
        - {plan: print, model: diary, replicas: -1}
        - {plan: print, model: diary, repeatable: [GET /status]}
      """
    When both files are parsed
    Then the list files have the findings
      | file        | line | key                   | code                 |
      | plans.yaml  | 3    | plans.0.key_digests.0 | pattern              |
      | plans.yaml  | 4    | plans.0.weight        | minimum              |
      | plans.yaml  | 6    | plans.1.name          | doubled              |
      | plans.yaml  | 9    | plans.2               | additionalProperties |
      | plans.yaml  | 10   | plans.2.key_digests.0 | doubled              |
      | grants.yaml | 2    | grants.0.plan         | unknown_plan         |
      | grants.yaml | 3    | grants.1              | oneOf                |
      | grants.yaml | 4    | grants.2.replicas     | minimum              |
      | grants.yaml | 5    | grants.3.model        | doubled              |
      | grants.yaml | 5    | grants.3.repeatable   | misplaced            |

  Scenario: Valid lists are parsed
    Given the plans file
      """
      plans:
        - name: works
          key_digests: [0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef]
          concurrent: 4
      """
    And the grants file
      """
      grants:
        - {plan: works, model: quotes, replicas: 2}
        - {plan: works, service: stock, repeatable: [GET /stock]}
      """
    When both files are parsed
    Then plan works has weight 1 and 2 grants
