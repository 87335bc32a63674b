Feature: Answers that arrive after newer records

  # Guards against a removed host that comes back for one daemon: a page of the store that
  # a peer's records had overtaken was applied, and a deleted key left nothing to compare
  # it with. Orders went to an engine that was gone, for good (DRAIN).
  Scenario Outline: A key that <removal> has deleted does not come back with a late answer
    Given a daemon that reads the store and has the keys a and b
    And its next read gets a record of b, whose answer is held up
    When <removal> tells it that b was deleted, and then the answer arrives
    Then it has the key a only, and has reported b as deleted once
    And it gives a daemon that starts the key a only
    And the log says that the read was overtaken
    And a new record of b reaches it with its next read

    Examples:
      | removal                   |
      | an update of a peer       |
      | a complete copy of a peer |
      | a later read of its own   |

  Scenario: A daemon of the gateway sends nothing to an engine that a late page names
    Given a gateway site
    And a second daemon
    And the first daemon's reads are held up once p0 has registered again
    When p0 is deleted, and the reads end after the second daemon's records came
    And 8 non-idempotent requests are sent one after another
    Then the plain engine p0 received at most 0 of them

  # Guards against the same by a peer of another build that has such a key itself.
  Scenario: A deleted key does not come back with the whole copy of a peer that kept it
    Given a daemon that reads the store and has the keys a and b
    When b is deleted, and a peer that kept it sends its whole copy at a later end
    Then it has the key a only, and has reported b as deleted once

  # The store itself prevails: a key that a daemon lacks is read when it reads them all.
  Scenario: A key that a daemon lost comes back when it loads the topic
    Given a daemon that reads the store and has the keys a and b
    When it has lost b, and the store no longer retains the records that it asks for
    Then it has both keys

  # Guards against records of the previous era that come back though they were deleted in
  # this one.
  Scenario: A key that was deleted in this era does not come back from the previous one
    Given two daemons, of which one carries a key over that the other saw deleted
    When the first one sends its copy, which is behind, to the other
    Then the other daemon does not have the key

  # Guards against records that a daemon never passes on, so that a peer lacks them for good.
  Scenario: A daemon that takes a copy which is behind passes its own later records on
    Given two daemons, of which one carries a key over that the other saw deleted
    When the first one sends its copy, which is behind, to the other
    Then a third daemon gets all that the other one has, from any position

  Scenario: However late answers and copies arrive, each daemon has what the log says
    When reads, loads and copies of peers arrive late and out of order
    Then no daemon ever has what the log says otherwise
