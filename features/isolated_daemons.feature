Feature: A daemon that has lost its connections to all upstreams

  # Guards against refused connections of one daemon that all others take for exits.
  Scenario: Peers of an isolated daemon send to all upstreams as before
    Given a gateway site with 4 engines of each kind and two daemons
    When the first daemon's connections to upstreams are refused
    And it gets a stream 12 times
    Then the second daemon takes no upstream for ended or suspect
