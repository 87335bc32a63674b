Feature: A daemon on the product's own platform is stopped while it serves

  # A second signal ended the process with requests in flight
  Scenario: Repeated signals end no request in flight
    Given daemons that must exit within 8 s of a stop signal
    When one gets SIGTERM, SIGHUP and SIGTERM while requests of each kind are in flight
    Then each of them is answered whole, and it exits with 0 in time

  # Calls were refused while the load balancer could not know of the stop yet
  Scenario: A stopping daemon takes calls until the load balancer sends no more
    Given daemons that must exit within 8 s of a stop signal
    When one gets SIGTERM while calls keep arriving
    Then it is not ready at once, and takes calls for 1 s more
    And it refuses later calls, which never run

  # Waits added up beyond the supervisor's grace, and cut requests left no line
  Scenario: Requests that outlast the stop are told so before the process exits
    Given daemons that must exit within 4 s of a stop signal
    When one gets SIGTERM while the log hangs and requests of each kind outlast the stop
    Then each is told whether it may have run, and no answer looks complete
    And the log names each of them with its age and how far it had come
    And it exits with 0 in time

  # The outcome of an order was lost, and an operator not told about a change
  Scenario: Orders and changes that end while their daemon stops are recorded
    Given daemons that must exit within 6 s of a stop signal
    When one gets SIGTERM while an order and an operator's change are under way
    Then the order is answered whole, and again by the other daemon, and ran once
    And the operator is told that the change is in force

  # A daemon that is stopped broke off calls that a peer had forwarded to it
  Scenario: Streams through a peer are complete when both daemons are stopped
    Given daemons that must exit within 8 s of a stop signal
    When a daemon and the peer that runs some of its streams get SIGTERM
    Then each of the streams is complete, and both exit with 0 in time

  # A forwarded stream ended with the peer that ran it
  Scenario: A stream that outlasts the stop of its peer is resumed elsewhere
    Given daemons that must exit within 4 s of a stop signal
    When the peer that runs some of a daemon's streams stops before they are complete
    Then each of the streams is complete, and it exits with 0 in time

  # A restart that the daemon itself decides on was not protected from signals
  Scenario: A daemon that its peers consider gone stops as after a signal
    Given daemons that must exit within 8 s of a stop signal
    When the log says that a daemon has left, and SIGTERM follows while it drains
    Then each of the streams is complete, and it exits with 0 in time

  # The supervisor counts while a daemon is suspended, which then stopped too late
  Scenario: A daemon that is suspended when SIGTERM arrives exits in time
    Given daemons that must exit within 4 s of a stop signal
    When one gets SIGTERM while it is suspended for 2 s with a stream in flight
    Then the stream ends with an error event, and it exits with 0 in time

  # A signal during the start left a daemon running or ended it with a traceback
  Scenario: A stop signal during the start ends the daemon in time
    When daemons get SIGTERM at moments of their start
    Then each has ended in time without a traceback
