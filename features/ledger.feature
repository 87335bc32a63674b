Feature: At most one run of a call that may not be repeated

  @point6 @point7
  Scenario: No key runs twice and no run is denied, whatever fails
    When ledgers are searched for a second or a denied run
    Then none was found by the ledger search

  @point7
  Scenario: A release frees only the claim that it names
    Given a key that is claimed
    When another claim of the key is released
    Then the key is still claimed

  @point7
  Scenario: The second caller of a key gets the first one's answer
    Given a key that is done
    When it is asked for again through another daemon
    Then the stored answer comes and nothing runs

  @point6
  Scenario: A key whose claim came back after its caller was told is free again
    Given a log whose answer to a claim comes too late
    When an order is sent and the log answers again
    Then it was told unknown, did not run, and a new try runs once

  Scenario: Orders that come together share their appends
    When 32 orders come at once
    Then they all run and take at most 8 appends
