Feature: Daemons whose hosts the platform has removed

  Scenario Outline: Only a listed daemon that has been off the list for long is lost
    Given a daemon that was <listed> and <linked>
    When its host is off the list for <seconds> s
    Then that daemon is <verdict>

    Examples:
      | listed       | linked     | seconds | verdict  |
      | listed       | not linked | 30      | lost     |
      | listed       | not linked | 3       | not lost |
      | listed       | linked     | 30      | not lost |
      | never listed | not linked | 30      | not lost |
