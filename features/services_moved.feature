Feature: The service of a request comes from its route in the version in force

  # Guards against streams of a second service with the same model that the first runs.
  Scenario: A route that is moved to another service with the same model is served there
    Given a gateway site with two services of the same model
    When a new version moves the stream route to the second service
    And 20 streams are sent to it
    Then all streams succeed and only the second service has run them

  # Guards against an added route whose streams run at a service that it never named.
  Scenario: A route that is added to another service with the same model is served there
    Given a gateway site with two services of the same model
    When a new version adds a stream route to the second service
    And 10 streams are sent to each of the two routes
    Then each service has run the streams of its own route only

  # Guards against a split whose streams all run at the service that is listed first.
  Scenario: A stream route that is split between two services runs at both
    Given a gateway site with two services of the same model
    When a new version splits the stream route 3 to 1
    And 60 streams are sent to it
    Then each stream was run by the service that its id selects, both have run some

  # Guards against a request that ends up at the other service when its own has no host.
  Scenario: A service without hosts refuses, though another one serves the model
    Given a gateway site with two services of the same model
    When a new version moves the stream route to a service without hosts
    And 3 streams are sent to it
    Then all are refused as not run and no engine has run them

  # Guards against streams that are cut or joined with others by a move.
  Scenario: Streams that run while their route moves are complete
    Given a gateway site with two services of the same model
    When 8 long streams run while a new version moves their route
    Then all streams are complete

  # Guards against resumptions at a service that the route has left.
  Scenario: A stream whose engine crashes after a move resumes at the new service
    Given a gateway site with two services of the same model
    When the engines of a long stream's service crash after its route has moved
    Then the stream is complete, with its rest from the second service

  # Guards against streams that are cut as their service leaves the configuration.
  Scenario: Streams that run while their service leaves the configuration are complete
    Given a gateway site with two services of the same model
    When 8 long streams run while a new version removes their service
    Then all streams are complete

  # Guards against a leader that forms replicas of one service only.
  Scenario: Replicas of every service are formed, from its own hosts
    Given a formation site with hosts of two services that have the same models
    When its controller runs for 30 s
    Then both services have serving replicas, none with hosts of both

  # Guards against replicas that keep a host which now belongs to another service.
  Scenario: A replica whose host has changed its service is ended
    Given a formation site with hosts of two services that have the same models
    When its controller runs for 30 s
    And a host of a replica registers for the other service and the controller runs on
    Then both services have serving replicas, none with hosts of both
