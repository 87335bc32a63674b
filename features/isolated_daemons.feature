Feature: A daemon that has lost its connections to all upstreams

  # Guards against callers of a daemon that reaches no upstream, whom it refused although its
  # peers could serve them (RECOVER).
  Scenario Outline: A <request> at a daemon whose connections <fail> gets a whole answer
    Given a gateway site with 4 engines of each kind and two daemons
    When the first daemon's connections to upstreams <fail>
    And it gets a <request> 12 times
    Then each gets the whole answer of an engine, and has run once
    And from the second one on, each takes less than 0.6 s

    Examples:
      | request    | fail         |
      | lookup     | are refused  |
      | order      | are refused  |
      | stream     | are refused  |
      | lookup     | hang         |
      | order      | hang         |
      | stream     | hang         |

  # Guards against refused connections of one daemon that all others take for exits.
  Scenario: Peers of an isolated daemon send to all upstreams as before
    Given a gateway site with 4 engines of each kind and two daemons
    When the first daemon's connections to upstreams are refused
    And it gets a stream 12 times
    Then the second daemon takes no upstream for ended or suspect

  # Guards against upstreams that stay excluded for what was the daemon's own partition.
  Scenario Outline: A daemon serves its callers itself again once it reaches upstreams
    Given a gateway site with 4 engines of each kind and two daemons
    When the first daemon's connections to upstreams <fail>
    And it gets a stream 12 times at once
    And its connections work again for 0.6 s
    And it gets a stream 12 times
    Then each of the last 12 gets the whole answer of an engine
    And none of the last 12 went through the peer

    Examples:
      | fail         |
      | are refused  |
      | hang         |

  Scenario Outline: A <request> is refused once if no daemon reaches an upstream
    Given a gateway site with 4 engines of each kind and two daemons
    When both daemons' connections to upstreams are refused
    And it gets a <request> 6 times
    Then each is refused with status 503 in less than 0.6 s and has not run

    Examples:
      | request    |
      | lookup     |
      | order      |
      | stream     |

  # Guards against a peer that is lost with a request, and an order that then runs twice.
  Scenario Outline: A <request> whose peer is lost <when> ends truthfully
    Given a gateway site with 4 engines of each kind and two daemons
    When the first daemon's connections to upstreams are refused
    And it gets a lookup 3 times
    And its peer is lost <when>
    And it gets a <request> 1 times
    Then it <ends>

    Examples:
      | request | when                      | ends                                 |
      | order   | before it gets an answer  | is told with 502 that it may have run |
      | stream  | in the middle of a stream | does not look complete               |

  Scenario: A caller that leaves an isolated daemon ends the work at the engine
    Given a gateway site with 4 engines of each kind and two daemons
    When the first daemon's connections to upstreams are refused
    And it gets a lookup 3 times
    And a caller leaves a long stream there
    Then the engine's work has ended within 0.5 s
