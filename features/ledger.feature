Feature: Non-repeatable calls run at most once

  @point6 @point7
  Scenario: No key runs twice, and no run is reported as not run, whatever fails
    When a stateful test searches ledgers for a second or a denied run
    Then the ledger search found none

  @point7
  Scenario: A release frees only the claim that it names
    Given a key that is claimed
    When another claim of the key is released
    Then the key is still claimed

  @point7
  Scenario: A repeated call with a key gets the stored answer
    Given a key that is done
    When it is called again through another daemon
    Then the stored answer is returned and nothing runs

  @point6
  Scenario: A claim that is applied after its caller was refused is released
    Given a log that appends a claim only after its timeout
    When a call with a key is made, and then the log recovers
    Then the call was refused with ran unknown, did not run, and a retry runs once

  Scenario: Concurrent calls share appends
    When 32 calls with keys are made at once
    Then they all run and take at most 8 appends
