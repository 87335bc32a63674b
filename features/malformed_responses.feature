Feature: Malformed responses are failed tries, wherever responses are read

  # Guards against broken answers that reach clients: a status that is none, a field name
  # with a blank or a control byte, a body that is not the engine's (MIXED, issue 48).
  Scenario Outline: A malformed response to a <request> is retried at another engine
    Given a gateway site
    When a <request> gets each malformed response from the first engine asked
    Then each caller receives the whole answer of another engine, and its head
    And the log gives the reason of each failed try

    Examples:
      | request    |
      | lookup     |
      | stream     |

  Scenario Outline: A <request> that gets nothing but malformed responses is refused
    Given a gateway site
    When a <request> gets each malformed response from every engine
    Then each caller is told with status 502 that the request may have run
    And the log gives the reason of each failed try
    And the failures count as those of a broken connection

    Examples:
      | request    |
      | lookup     |
      | order      |
      | stream     |

  # Guards against malformed responses that end a stream which has begun as if complete.
  Scenario: A stream whose second engine sends a malformed response does not look complete
    Given a gateway site
    When a stream breaks after its third event and is resumed with each malformed response
    Then each response is aborted after event 3
    And the log gives the reason of each failed try

  Scenario Outline: A sound response to a <request> is passed on <arrival>
    Given a gateway site
    When a <request> gets each sound response <arrival>
    Then each caller receives the engine's whole answer at its first try

    Examples:
      | request | arrival           |
      | order   | in one piece      |
      | order   | in single bytes   |
      | stream  | in one piece      |

  # Guards against refusals that fail since an id in their head or the log is not UTF-8.
  Scenario: A refusal returns a request id that is not UTF-8 as it was sent
    Given a gateway site
    When a request whose id is not UTF-8 arrives for an unknown path
    Then it is refused with status 404 and the bytes of its id

  # Guards against requests that end as an internal error for a value of their own.
  Scenario: A request with a header that is not UTF-8 is answered or refused
    Given a gateway site
    When a request with a header that is not UTF-8 arrives
    Then it is answered whole, or refused with status 400

  # Guards against whole answers that fail as they are stored, passed to another daemon
  # or written.
  Scenario: A content type that is not UTF-8 is passed on as text
    When a plain service answers with the content type text/x; a="déjà" in Latin-1
    Then the answer has it in UTF-8 and can be stored

  # Guards against orders that count as refused, and reports that are believed.
  Scenario: A malformed response of an engine to the daemon itself counts as none
    Given a gateway site
    When the engine e0 sends malformed responses to a report request and an order
    Then each of them fails as if there was no answer, and says why

  # Guards against appends that count as not written, and records that are believed.
  Scenario Outline: A malformed response of <server> counts as none
    When each malformed response is sent by <server>
    Then each call fails as if there was no answer
    And each error gives the reason

    Examples:
      | server                   |
      | the store to a read      |
      | the store to an append   |
      | the log to an append     |
      | a daemon with records    |
      | a daemon with a call     |
      | a daemon with a stream   |
      | a daemon with its status |
      | a plain service          |
      | a model engine           |

  # Guards against tries of plain calls whose failure leaves no trace.
  Scenario: Each failed try of a plain call is logged with its reason
    Given 2 hosts of a service that lose answers
    When a GET call is made while the log is kept
    Then the log has the reason of 2 tries

  # Guards against refusals of a daemon that fail for a number which is none.
  Scenario: A Retry-After of another daemon that is no number is ignored
    When a daemon refuses a call with the Retry-After ²
    Then the call is refused without a Retry-After

  Scenario Outline: A malformed response of <server> counts as none for the tool
    When each malformed response is sent by <server>
    Then each call fails as if there was no answer

    Examples:
      | server                           |
      | a daemon to an operator's query  |
      | a daemon to an operator's change |

  # Guards against bytes that arrive between two requests and are read as the next answer.
  Scenario: A response that nobody asked for is not taken for the next one
    Given a store that sends another page after each answer
    When it is read twice over one connection
    Then both reads return its first page

  # The HTTP library parses with its C extension or in Python; they accept different heads.
  Scenario: The same holds when the HTTP library parses without its C extension
    When the other scenarios of this feature run without the C extension
    Then they pass
