Feature: Plain calls are repeated where they may be, else sent once

  Scenario: A repeatable call that gets no answer is repeated at another host
    Given 2 hosts of a service of which the first swallows calls
    When a GET call is made
    Then the plain call is answered and each host got 1 call

  @point6 @point7
  Scenario Outline: A call that may not be repeated is sent once
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
  Scenario: An order whose caller leaves goes on, and its retry gets the answer
    Given 2 hosts of a service that answer
    When a POST call with a key is left under way and made again
    Then the plain call is answered after 1 run

  @point7
  Scenario: Another call under a used key is refused
    Given 2 hosts of a service that answer
    When two different POST calls are made with one key
    Then the second is refused as key_reused after 1 run

  Scenario Outline: The grant says which calls may be repeated
    Then a call <call> under the grant "POST /quotes" is <verdict>

    Examples:
      | call                | verdict        |
      | GET /orders/1       | repeatable     |
      | POST /quotes        | repeatable     |
      | POST /quotes/7?x=1  | repeatable     |
      | POST /quotesheet    | not repeatable |
      | POST /quotes/../pay | not repeatable |
      | POST /orders        | not repeatable |
