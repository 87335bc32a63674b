Feature: Callers that stay outside the limits, many at once

  One gateway daemon runs as a process of its own, with 150 MB and 500 descriptors in
  its settings, before stand-ins for the store and the upstreams. A crowd of 120 callers
  stays connected while the checks are made. The bounds are those of the settings.

  # Guards against a crowd that takes the memory, the descriptors or the event loop of a
  # daemon by what is buffered for each connection, before or after a handler sees it.
  Scenario Outline: A daemon outlives a crowd that sends or asks for <pattern>
    Given a gateway daemon with 150 MB and 500 descriptors
    When 120 callers send or ask for <pattern> and stay connected
    Then an ordinary request is answered while they are connected
    And the process lives, and its memory and descriptors stayed within its settings

    Examples:
      | pattern                                   |
      | a header line without end                 |
      | header fields without end                 |
      | empty lines without end                   |
      | heads that are left open                  |
      | declared bodies that stop just short      |
      | chunked bodies that stop just short       |
      | bodies in chunks of one byte              |
      | bodies in segments of a few bytes         |
      | whole bodies of 4 MB                      |
      | long streams that are read slowly         |
      | answers of 2 MB that are never read       |
      | heads behind a request that is not done   |

  # Guards against connections without a request that leave none to ordinary callers.
  Scenario Outline: A daemon outlives more connections than descriptors, for <pattern>
    Given a gateway daemon with 150 MB and 500 descriptors
    When 600 callers send or ask for <pattern> and stay connected
    Then an ordinary request is answered while they are connected
    And the process lives, and its memory and descriptors stayed within its settings

    Examples:
      | pattern                 |
      | nothing                 |
      | bodies that never come  |

  # Guards against a stop that waits for callers that never end.
  Scenario Outline: A daemon stops in time while callers send or ask for <pattern>
    Given a gateway daemon with 150 MB and 500 descriptors
    When 120 callers send or ask for <pattern> and stay connected
    And the daemon gets SIGTERM
    Then it exits with 0 within its grace

    Examples:
      | pattern                              |
      | declared bodies that stop just short |
      | bodies in chunks of one byte         |
      | long streams that are read slowly    |
      | answers of 2 MB that are never read  |

  # Guards against bounds that a caller inside the limits meets in calm.
  Scenario Outline: A single request inside the limits is served: <request>
    Given a gateway daemon with 150 MB and 500 descriptors
    When a single caller sends <request>
    Then it is answered with 200

    Examples:
      | request                           |
      | a head of 16,000 bytes            |
      | a declared body of 4 MB           |
      | a chunked body of 4 MB            |
      | a body of 100,000 one-byte chunks |
      | a body that pauses for 2 s        |
      | a request for an answer of 2 MB   |
