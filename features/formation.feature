Feature: Replicas formed from registered hosts

  Scenario: Each fabric domain of a failure domain serves one model
    Given 2 fabric domains of 10 hosts
    Then the targets of the first are 2 large and 0 small replicas
    And the targets of the second are 0 large and 5 small replicas

  Scenario: Three fabric domains share two models
    Given 3 fabric domains of 18 hosts
    Then the targets of the first are 4 large and 0 small replicas
    And the targets of the second are 2 large and 4 small replicas
    And the targets of the third are 0 large and 9 small replicas

  Scenario: Fractions of replicas carry over to the next failure domain (one model short, one idle)
    Given 3 failure domains of 2 fabric domains of 8 hosts
    And a share of 0.67 for the large model
    Then the targets are 8 large and 7 small replicas in total
    And each failure domain has a target for both models

  Scenario Outline: A fabric domain that is too small for the shares serves the model that fits
    Given 1 fabric domain of <hosts> hosts
    Then the targets of the first are <large> large and <small> small replicas

    Examples:
      | hosts | large | small |
      | 10    | 1     | 2     |
      | 4     | 0     | 1     |
      | 3     | 0     | 1     |
      | 2     | 0     | 1     |
      | 1     | 0     | 0     |

  Scenario: Survivors of lost replicas form a replica together (hosts lost faster than weights load)
    Given a fabric domain for the large model with 2 lost replicas of 3 survivors each
    When its replicas are planned while the system runs
    Then 1 large replica is formed from hosts with the weights
    And no weights are loaded

  Scenario Outline: Spares of several fabric domains serve a model that is short of capacity
    Given 3 large spares in each of <fabrics> fabric domains of <failure> failure domains
    When spread replicas are planned while <model> is short of capacity
    Then <count> of the large model are formed, each within one failure domain

    Examples:
      | fabrics | failure | model           | count |
      | 2       | 1       | the large model | 1     |
      | 3       | 1       | the large model | 2     |
      | 1       | 3       | the large model | 0     |
      | 2       | 3       | the large model | 3     |
      | 2       | 1       | the small model | 0     |
      | 2       | 1       | no model        | 0     |

  Scenario Outline: A model with enough requests in flight is short of capacity
    Given <large> of 18 slots of the large model in use and <small> of 18 of the small
    When that lasts for 10 s, and then every slot is in use for <burst> s
    Then <models> are short of capacity

    Examples:
      | large | small | burst | models          |
      | 3     | 12    | 0     | small           |
      | 9     | 8     | 0     | no models       |
      | 3     | 6     | 0.5   | no models       |
      | 3     | 6     | 10    | large and small |

  Scenario: A host with the weights of two models joins one replica
    Given 3 spares with the weights of both models in each of 2 fabric domains
    When spread replicas are planned while both models are short of capacity
    Then no host is in two of these replicas

  Scenario: Two replicas with the same host are never recorded together
    Given two registries that have read the same records
    When one is told to record two replicas with the same host
    Then it refuses, and nothing is recorded

  Scenario: Spares of two fabric domains form a spread replica until one has enough hosts again
    Given a fleet of 20 hosts in 2 fabric domains that all serve the large model
    And 30 s have passed with requests
    And every slot of the large model is in use
    When a member of a replica is lost in each fabric domain
    And 8 s pass
    Then 2 normal and 1 spread replicas serve
    When a host with the weights is added to the first fabric domain
    And 14 s pass
    Then 3 normal and 0 spread replicas serve
    And no command broke a rule

  Scenario: Hosts without weights are loaded before they join while the system runs
    Given a fabric domain for the large model with 3 staged and 2 empty hosts
    When its replicas are planned while the system runs
    Then 0 large replicas are formed from hosts with the weights
    And 2 hosts load the large model

  Scenario: Hosts without weights join at once before the first request
    Given a fabric domain for the large model with 0 staged and 10 empty hosts
    When its replicas are planned before the first request
    Then 2 large replicas are formed

  Scenario: One of two concurrent writers gets a conflict error
    Given two registries that have read the same records
    When both record a replica with the same host
    Then one of them is recorded
    And the other writer gets a conflict error

  Scenario: No host is ever recorded in two replicas
    When concurrent writers, lost answers and expired records are combined at random
    Then every recorded replica has its own hosts

  Scenario: Every replica is formed before its head is told to serve
    Given a fleet of 20 hosts in 2 fabric domains
    When 10 s pass
    Then 2 large and 5 small replicas serve
    And no command broke a rule

  Scenario: A lost member is replaced by a spare
    Given a fleet of 20 hosts in 2 fabric domains
    And 30 s have passed with requests
    When a member of a large replica is lost and its head's streams stall
    And 6 s pass
    Then 2 large and 5 small replicas serve
    And no command broke a rule

  Scenario: A lost head frees its members once their reports show that they left
    Given a fleet of 20 hosts in 2 fabric domains
    And 30 s have passed with requests
    When the head of a large replica is lost and its streams stall
    And 8 s pass
    Then 2 large and 5 small replicas serve
    And no command broke a rule

  Scenario: A daemon that is partitioned away ends no replica
    Given a fleet of 20 hosts in 2 fabric domains
    And 30 s have passed with requests
    When no host answers this daemon and the streams of all heads stall
    And 20 s pass
    Then every replica is still recorded

  Scenario: Commands that are carried out late do no harm
    Given a fleet of 20 hosts in 2 fabric domains
    And 30 s have passed with requests
    When the next 8 commands get no answer and are carried out late
    And a member of a large replica is lost and its head's streams stall
    And 20 s pass
    Then no command broke a rule
    And 2 large and 5 small replicas serve

  Scenario: A head that comes back after its replica was ended leaves it
    Given a fleet of 20 hosts in 2 fabric domains
    And 30 s have passed with requests
    When the head of a large replica is cut off from this daemon for 12 s
    And 10 s pass
    Then no head serves a replica that is not recorded
    And no command broke a rule

  Scenario: A daemon on a suitable host becomes the leader
    Given daemons a, b and c of which a is the leader
    And the host of b is unsuitable
    When a crashes
    And the daemons run for 8 s
    Then c itself is the leader

  Scenario: The leadership stays in its failure domain, where its loss is known first
    Given daemons a, b and c of which a is the leader
    And the host of b is unsuitable
    And b is in the failure domain of a
    When a crashes
    And the daemons run for 8 s
    Then b itself is the leader

  Scenario: A daemon on an unsuitable host takes over if there is no other
    Given daemons a, b and c of which a is the leader
    And the host of b is unsuitable
    And the host of c is unsuitable
    When a crashes
    And the daemons run for 8 s
    Then another is the leader

  Scenario: A plan that leaves nothing to do is made again only when its inputs change
    Given a fleet of 20 hosts in 2 fabric domains
    And 30 s have passed with requests
    When 10 s pass without a change, counting plans
    Then at most 2 plans were made
    When a member of a large replica is lost and its head's streams stall
    And 6 s pass
    Then 2 large and 5 small replicas serve

  Scenario Outline: The leadership moves when the leader cannot act
    Given daemons a, b and c of which a is the leader
    When <fault>
    And the daemons run for 8 s
    Then <leader> is the leader

    Examples:
      | fault                             | leader     |
      | nothing happens                   | a          |
      | a crashes                         | another    |
      | a cannot reach the store          | another    |
      | a resigns                         | another    |
      | b hears from no other daemon      | a          |

  Scenario: Most of a failure domain is lost at once, and no neighbour answers
    Given a fleet of 14 hosts in 1 fabric domain
    And 30 s have passed with requests
    When 11 hosts are lost and their registrations expire after 4 s
    And 16 s pass
    Then every recorded replica serves
    And no recorded replica has a lost host
    And no command broke a rule

  Scenario: A failure domain that is partitioned away keeps its replicas
    Given a fleet of 14 hosts in 1 fabric domain
    And 30 s have passed with requests
    When no host answers this daemon and all registrations expire
    And 20 s pass
    Then every replica is still recorded

  Scenario: Hosts that register again no longer count as lost (a healed partition)
    Given a fleet of 14 hosts in 1 fabric domain
    And 30 s have passed with requests
    When 14 hosts are partitioned away and expire while daemons there are heard from
    And 10 s pass
    And the partition heals
    And 6 s pass
    Then every recorded replica serves
    And at least 10 hosts are in a replica
    And no command broke a rule

  Scenario: Replicas without a live process are ended after all hosts were replaced
    Given a fleet of 14 hosts in 1 fabric domain
    And 30 s have passed with requests
    When another daemon starts after every host was replaced by a new one
    And 40 s pass
    Then every recorded replica serves
    And no command broke a rule

  Scenario: Members of a dropped replica leave after its head (a healed partition)
    Given a fleet of 14 hosts in 1 fabric domain
    And 30 s have passed with requests
    When a replica is dropped while its hosts still run it, and its head does not answer
    And 4 s pass
    Then only its head was told to leave
    When its head answers again
    And 10 s pass
    Then the head and its members have left
    And no command broke a rule

  Scenario: After any faults every recorded replica serves or is ended
    When hosts are lost, partitioned, replaced and told late, and daemons restart
    Then no command breaks a rule, and after recovery every replica serves or is ended
