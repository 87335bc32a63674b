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
