Feature: Values that other programs wrote

  # Guards against an unreadable value whose error is none that callers of decoders expect.
  Scenario Outline: No decoder raises anything but the project's error for <values>
    Given every decoder of values that other programs wrote
    When each decodes <values>
    Then each returns a value or raises the project's error, with a short reason

    Examples:
      | values                  |
      | deeply nested values    |
      | values cut off          |
      | values of other types   |
      | huge values             |
      | random bytes            |
      | changed sound values    |

  # Guards against one unreadable record that ends every daemon that reads it.
  Scenario Outline: An unreadable record in <topic> costs that record alone, at a daemon that <source>
    Given a gateway site
    And a second daemon
    And the second daemon gets its records from <source>
    When an unreadable record nested 2000 deep is written to <topic>, <form>
    And 3.0 s pass at the site
    Then the tasks of all daemons are running
    And the unreadable record is logged once by each daemon, in a short line
    And a request to each daemon is served

    Examples:
      | topic    | form    | source    |
      | servers  | cut off | the store |
      | servers  | whole   | a peer    |
      | op       | cut off | the store |
      | op       | cut off | a peer    |
      | daemons  | cut off | the store |
      | daemons  | whole   | a peer    |
      | replicas | cut off | the store |
      | replicas | whole   | a peer    |

  # Guards against versions and engines that are ignored for what an unknown field holds.
  Scenario: Unknown fields may be nested to any depth
    Given a gateway site
    When a version and an engine are written with unknown fields nested 2000 and 80000 deep
    And 1.0 s pass at the site
    Then the version is in force and the engine is registered

  # Guards against heartbeats that close the socket on which they arrive.
  Scenario: Unreadable datagrams at the heartbeat port cost themselves alone
    Given a gateway site
    And a second daemon
    When datagrams that cannot be read arrive at the heartbeat ports
    And 0.5 s pass at the site
    Then the tasks of all daemons are running
    And the daemons hear each other

  # Guards against figures of another writer that make a sound engine useless.
  Scenario Outline: A registration with <figure> names no engine to use
    Given a gateway site
    When another writer registers the address of an engine with <figure>
    And 8 plain requests are sent
    Then all of them succeed, and none was sent for that registration

    Examples:
      | figure                    |
      | born -1                   |
      | born 1e308                |
      | cold-remaining-ms 1e308   |
      | cold-remaining-ms -1      |
      | slots -4                  |
      | the address nowhere       |
      | the address 127.0.0.1:0   |

  # Guards against one value that keeps a daemon from reading all others.
  Scenario: A value of a page that is not base64 costs its record alone
    Given a store whose page has a value that is not base64
    When a topic is read from it
    Then the other record of the page is read

  # Guards against pages of the store that never end.
  Scenario: A store that repeats a page counts as one that does not answer
    Given a store that repeats its first page
    When a topic is read from it
    Then the read fails at once
