Feature: On how many engines a stream may run

  Scenario Outline: A stream runs on no more living engines than allowed when <fate> (BUDGET)
    Given a route that allows 2 engines, and 2 heads that stall
    When a stream is asked for and, at each head that stalls, <fate>
    Then at most 2 engines that live have run it
    And its answer never looks complete

    Examples:
      | fate                                   |
      | its registration lapses                |
      | its registration lapses and is back    |
      | its replica is ended                   |
      | a probe is lost                        |
      | it answers no probe in time            |
      | this daemon stands still               |
      | no descriptor is left here             |
      | another daemon hears from it           |
      | its process was a new one all along    |

  Scenario Outline: A stream goes on past engines that have ended, as when <fate>
    Given a route that allows 2 engines, and 2 heads that stall
    When a stream is asked for and, at each head that stalls, <fate>
    Then it is whole and in order, and 3 engines have run it
    And its caller has not waited 1.8 s for an event

    Examples:
      | fate                   |
      | its process ends       |
      | its host goes dark     |

  Scenario: A head that was tried twice and has ended costs no attempt at all
    Given a route that allows 2 engines, and one head that stalls twice
    When a stream is asked for and, at each head that stalls, its host goes dark
    Then it is whole and in order, and 1 engines have run it

  Scenario: A head that was tried twice and lives leaves none
    Given a route that allows 2 engines, and one head that stalls twice
    When a stream is asked for and, at each head that stalls, its replica is ended
    Then its answer never looks complete

  Scenario Outline: What one connection shows of a process that <state>
    Given an engine that <state>
    When the platform's adapter asks it for its report
    Then it shows that the process <verdict>

    Examples:
      | state                      | verdict       |
      | runs                       | lives         |
      | has ended                  | ended         |
      | has been replaced          | lives         |
      | takes no connection        | is unreached  |
      | answers nothing            | lives         |
      | answers something else     | lives         |
