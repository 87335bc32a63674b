Feature: Calls to a store that is away

  # Guards against loops that each repeat their calls at a store that is away: it got
  # five times as many calls as in a calm time, and from all daemons at its return.
  Scenario Outline: Sixty daemons and a store that serves nobody for 8 s
    Given 60 daemons in 3 failure domains that follow 3 topics of a store
    When the store <fails> for 8 s, and a record of each topic is written at its return
    Then it got no more calls in these 8 s than in 8 s of calm
    And each daemon has the new records within 2 s of its return
    And it got at most 60 calls in any 0.1 s from its return on
    And 10 s after its return it gets as many calls as in 8 s of calm
    And each reader logged that its calls were paused, and then that the store is back

    Examples:
      | fails                                     |
      | resets every connection                   |
      | is busy                                   |
      | does not answer                           |

  # Guards against callers that ask again before the time that the store has named.
  Scenario: A store that is busy and names a time
    Given 60 daemons in 3 failure domains that follow 3 topics of a store
    When the store is busy with Retry-After 1.5 for 8 s, and a record of each topic is written at its return
    Then no daemon called it again within 1.5 s of a refusal that it had read
    And each daemon has the new records within 2 s of its return

  # Guards against a daemon that calls in vain, or goes without what its peers know.
  Scenario: A store that turns one machine away and serves the others
    Given 60 daemons in 3 failure domains that follow 3 topics of a store
    When the store turns one reader away for 8 s, and a record is written each second
    Then each daemon has each record within 2 s
    And that daemon made at most 16 calls in these 8 s

  # Guards against hosts that still get requests after their registrations have lapsed: a
  # daemon took a call that it held back for an outage of the store (DRAIN).
  Scenario: A call that is held back behind a probe is no failure of the store
    Given a daemon that hears that the store does not serve others
    When it reads 2 topics at the same moment
    Then it takes no read for failed

  # Guards against the same by what the store denies a peer alone.
  Scenario: What the store denies one daemon is no outage for those that it passes records to
    Given a daemon that reads the store, and one that the store turns away
    When the second one gets a record from the first one and passes it on
    Then the receiver does not take the store for away
    And it does once the first one has been turned away as well

  # Guards against pauses after a single failure that calls answered since then refute.
  Scenario: One lost answer does not pause calls that are answered
    Given a pacing of calls, and a call that gets no answer for 1 s
    When other calls are answered meanwhile, and then the first one fails
    Then the next call is made at once

  # Guards against an append that is repeated, or forgotten, when nobody knows whether
  # it was done.
  Scenario: The answer to an append is lost and the store goes away for 8 s
    Given a daemon that becomes the leader
    When the answer to its append is lost, and the store resets every connection for 8 s
    Then it made at most 32 calls in these 8 s
    And it knows that it leads within 1 s of the store's return
    And its append was done once
