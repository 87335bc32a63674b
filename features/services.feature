Feature: Plain calls are retried if repeatable, otherwise sent once

  Scenario: A repeatable call that gets no answer is retried at another host
    Given 2 hosts of a service of which the first never answers
    When a GET call is made
    Then the plain call is answered and each host got 1 call

  @point6 @point7
  Scenario Outline: A non-repeatable call is sent once
    Given 2 hosts of a service that <fault>
    When a POST call is made <keyed>
    Then the plain call is refused with ran <ran>, and <runs> runs were made

    Examples:
      | fault            | keyed         | ran     | runs |
      | lose answers     | without a key | unknown | 1    |
      | lose answers     | with a key    | unknown | 1    |
      | can't be reached | without a key | no      | 0    |
      | can't be reached | with a key    | no      | 0    |

  @point7
  Scenario: A keyed call runs on after its caller disconnects; a retry gets the answer
    Given 2 hosts of a service that answer
    When a POST call with a key is cancelled while it runs, and made again
    Then the plain call is answered after 1 run

  @point7
  Scenario: A different call with a used key is refused
    Given 2 hosts of a service that answer
    When two different POST calls are made with one key
    Then the second is refused as key_reused after 1 run

  Scenario Outline: The grant determines which calls are repeatable
    Then a call <call> under the grant "POST /quotes" is <verdict>

    Examples:
      | call                | verdict        |
      | GET /orders/1       | repeatable     |
      | POST /quotes        | repeatable     |
      | POST /quotes/7?x=1  | repeatable     |
      | POST /quotesheet    | not repeatable |
      | POST /quotes/../pay | not repeatable |
      | POST /orders        | not repeatable |
