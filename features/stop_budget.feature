Feature: The budget of a stop

  Scenario Outline: All waits of a stop end before the process is killed
    Given a grace of <grace> s and a process that last ran <silent> s before it noticed
    When its stop is planned, with <accept> s for the load balancer
    Then it refuses <refuse> s, cuts off <cut> s and exits before <grace> s after the signal
    And its phases follow each other

    Examples: of daemons
      | grace | silent | accept | refuse | cut |
      | 8     | 0      | 3      | 3      | 7.2 |
      | 8     | 2.5    | 3      | 3      | 7.2 |
      | 30    | 0.1    | 0      | 0      | 29.2 |
      | 2     | 0      | 3      | 1.2    | 1.2 |
      | 0.5   | 0      | 3      | 0      | 0   |

  Scenario: A process that was suspended for longer than its grace stops at once
    Given a grace of 8 s and a process that last ran 60 s before it noticed
    When its stop is planned, with 3 s for the load balancer
    Then nothing is waited for

  Scenario: A signal that is noticed after a suspension counts from before it
    Given a detector that is told every 0.05 s that the process runs
    When the process is suspended for 2 s
    Then a signal noticed at once, or 0.05 s later, may have been sent 2 s before
    And a signal noticed 0.2 s later, or 1 s later, was sent after the suspension

  Scenario: A stop whose event loop hangs ends within the grace
    Given a process whose stop blocks the event loop, with a grace of 2 s
    When it gets SIGTERM
    Then it exits with code 70 within the grace
    And its last line names what did not stop
    And it names the call in which the process hangs

  # Guards against a bound that needs the interpreter, or the event loop to run once
  # more after the signal: the process was killed at the end of its grace.
  Scenario Outline: A process that hangs in any way ends within the grace
    Given a process that <hangs>, with a grace of 2 s
    When it gets SIGTERM
    Then it exits by itself within the grace

    Examples: of what hangs
      | hangs                                   |
      | holds its interpreter when it stops     |
      | is busy on its event loop at the signal |
      | does not end its start                  |

  # Guards against an exit that waits for what the stop has left: such processes had
  # stopped in time and yet ran until their last bound.
  Scenario: Threads and tasks that never end do not delay the exit after the stop
    Given a process that leaves a thread and a task, with a grace of 4 s
    When it gets SIGTERM
    Then it exits with code 0 within 1 s
    And its last line says that it stopped

  # Guards against a platform that takes a failed daemon for one that was stopped.
  Scenario: A task that ends unexpectedly stops the process in order
    Given a process whose task fails while it runs, with a grace of 2 s
    When its task fails
    Then it exits with code 70 within the grace
    And its last line says that it stopped

  Scenario: Final lines are neither omitted nor dropped
    Given a decision log limited to 1 line of a kind, whose reader is busy
    When 300 lines are logged before a stop and during it, and the reader resumes
    Then it reads all 300 final lines, each complete
