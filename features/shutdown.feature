Feature: Gateway daemons that are stopped answer what they have taken

  # Guards against handlers that outlive the grace: their answers and lines are lost.
  Scenario: Requests in flight near the end of the grace end with a line
    Given three gateway daemons as processes
    When they get SIGTERM while requests take 6.5 s, 7.5 s and longer than the grace
    Then each stopped daemon exits by itself within its grace
    And no answer is lost
    And the logs show how each request ended

  # Guards against a second signal that ends the process at once.
  Scenario: A second SIGTERM does not cut requests in flight
    Given three gateway daemons as processes
    When they get SIGTERM twice, 0.05 s, 1 s and 4 s apart, while requests take 4.5 s
    Then each stopped daemon exits by itself within its grace
    And no answer is lost
    And the logs show how each request ended

  # Guards against a drain that begins only when a call to the store has ended.
  Scenario: A leader whose store is silent refuses and exits in time
    Given a gateway daemon that leads
    When it gets SIGTERM while its store is silent and requests keep arriving
    Then each stopped daemon exits by itself within its grace
    And no answer is lost
    And no engine gets a request later than 3 s after SIGTERM
    And the logs show how each request ended

  # Guards against reloads and new configurations that end requests in flight.
  Scenario: Reloads and new configurations do not cut requests of a drain
    Given three gateway daemons as processes
    When they get SIGHUP before, after and around SIGTERM, then a configuration
    Then each stopped daemon exits by itself within its grace
    And no answer is lost
    And the logs show how each request ended

  # Guards against a grace that is counted from the end of a freeze.
  Scenario: A daemon that was frozen exits within the grace of its SIGTERM
    Given three gateway daemons as processes
    When they get SIGTERM before, during and late in a freeze
    Then each stopped daemon exits by itself within its grace
    And no answer is lost
    And the logs show how each request ended

  # Guards against a cut so late that a busy core leaves no time for the last lines.
  Scenario: A daemon on a busy core exits within its grace
    Given a gateway daemon as a process
    When it gets SIGTERM on a busy core with 40 requests in flight
    Then each stopped daemon exits by itself within its grace
    And no answer is lost
    And the logs show how each request ended

  # Guards against a limit of the log that hides requests which end together.
  Scenario: Many requests that end together each have a line
    Given a gateway daemon as a process
    When it gets SIGTERM with 120 requests that take longer than the grace
    Then each stopped daemon exits by itself within its grace
    And no answer is lost
    And the logs show how each request ended
    And each request that an engine got has an answer

  # Guards against an exit before bytes that were taken or written have left.
  Scenario: Bodies, kept connections and slow readers are served during a drain
    Given three gateway daemons as processes
    When they get SIGTERM while bodies, kept connections and slow readers are open
    Then each stopped daemon exits by itself within its grace
    And no answer is lost
    And the logs show how each request ended

  # Guards against a drain that ends what could still be resumed or retried.
  Scenario: Streams are resumed and requests retried during a drain
    Given three gateway daemons as processes
    When they get SIGTERM while a stream is resumed, a request retried and none runs
    Then each stopped daemon exits by itself within its grace
    And no answer is lost
    And the logs show how each request ended
    And each request that an engine got has an answer

  # Guards against a stream that ends because its engine is silent for a moment.
  Scenario: A pause of an engine does not end a stream of a drain
    Given a gateway daemon as a process
    When it gets SIGTERM and engines pause for 1.2 s between events
    Then each stopped daemon exits by itself within its grace
    And no answer is lost
    And the logs show how each request ended

  # Guards against a signal during the start that leaves services open or crashes.
  Scenario: SIGTERM during the start ends the process in order
    Given gateway daemons that are about to be started
    When each gets SIGTERM up to 1.5 s after its program begins, with callers waiting
    Then each stopped daemon exits by itself within its grace
    And no port of a stopped daemon accepts connections
    And no answer is lost

  # Guards against losses that need several daemons to stop at once.
  Scenario: Daemons that are stopped in turn lose no answer
    Given three gateway daemons as processes
    When they are stopped in turn, some twice, while callers follow their readiness
    Then each stopped daemon exits by itself within its grace
    And no answer is lost
    And the logs show how each request ended

  # Guards against signals that meet a process whose handlers are gone.
  Scenario: Signals until the exit change nothing
    Given three gateway daemons as processes
    When they get SIGTERM, then SIGHUP, SIGTERM or both every 20 ms until they end
    Then each stopped daemon exits by itself within its grace
    And no answer is lost
    And the logs show how each request ended

  # Guards against losses that only some order of signals and requests shows.
  Scenario: Random signals lose no answer
    Given three gateway daemons as processes
    When random signals with the seed 1 meet requests of all kinds for 8 s
    Then each stopped daemon exits by itself within its grace
    And no answer is lost
    And the logs show how each request ended
