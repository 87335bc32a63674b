Feature: Facts that daemons tell each other

  # Guards against daemons that hold different facts for the order of their datagrams.
  Scenario: Daemons agree on facts whatever the order, loss and repetition of datagrams
    Then facts told in any order are the same at all daemons

  # Guards against facts that relays keep alive for ever.
  Scenario: A fact that is relayed again and again ends when it was to end
    Given 6 daemons that lose 0.2 of their datagrams
    When one of them tells a fact that lasts 20 s
    Then all hold it after 3 s, and a daemon that starts then after 3 s more
    And nobody holds it after 20.2 s

  # Guards against memory that other daemons can make grow.
  Scenario: The facts that a daemon holds and sends are bounded
    When a daemon is told 100000 facts
    Then it holds at most 512 of a kind and sends at most 8 kB of them

  # Guards against datagrams of a faulty peer that change beliefs for good.
  Scenario Outline: A fact with <fault> is ignored
    When a daemon is told a fact with <fault>
    Then it holds no fact

    Examples:
      | fault                |
      | an unknown kind      |
      | a subject of 1000 B  |
      | a negative age       |
      | an age past its end  |
      | a time of a year     |
      | a negative value     |
      | a value that is nan  |

  # Guards against evidence of each daemon that all others send on in each heartbeat, which
  # filled the links between failure domains (issue 42).
  Scenario: Evidence is sent by the daemon that has told it, and by no other
    When a daemon tells a failure of a process
    Then it sends the failure for 0.5 s, and a daemon that was told of it never does
