Feature: Heartbeats out of turn

  # Guards against news of many failures that fill the links of hosts: connections, records
  # and heartbeats then wait behind them, which is told as further failures. Daemons did not
  # learn in time of configurations and of leaving upstreams (CONFIG and DRAIN).
  Scenario Outline: News of many failures takes a third of a link of 10 Mbit/s at most
    Given a daemon among <daemons> daemons in 5 failure domains that tells of its failures
    When <failures> upstreams fail there each second for 10 s
    Then it has sent at most 416 kB in any second
    And each of the others has learned of the last failure within 6 s

    Examples:
      | daemons | failures |
      | 195     | 6        |
      | 195     | 40       |
      | 400     | 40       |

  # Guards against a bound that delays what is rare and urgent.
  Scenario: News of a single failure reaches all daemons at once
    Given a daemon among 195 daemons in 5 failure domains that tells of its failures
    When an upstream fails there
    Then each of the others has learned of the last failure within 0.05 s

  # Guards against a bound that holds up the news of a small fleet.
  Scenario: A small fleet learns of many failures at once
    Given a daemon among 6 daemons in 3 failure domains that tells of its failures
    When 10 upstreams fail there each second for 10 s
    Then each of the others has learned of each failure within 0.15 s
