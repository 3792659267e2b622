Feature: Bad input gets a specific error and has no side effects

  Scenario: Each kind of bad input
    Given 1 running daemon
    When a caller sends "broken JSON"
    Then the answer is 400 with error kind bad_request, not run
    When a caller sends "no messages"
    Then the answer is 400 with error kind bad_request, not run
    When a caller sends "a negative token limit"
    Then the answer is 400 with error kind bad_request, not run
    When a caller sends "more tokens than the burst"
    Then the answer is 400 with error kind bad_request, not run
    When a caller sends "an unknown model"
    Then the answer is 404 with error kind not_found, not run
    When a caller sends "a body over the limit"
    Then the answer is 413 with error kind too_large, not run
    When a caller sends "a wrong key"
    Then the answer is 401 with error kind bad_key, not run
    When a caller sends "no key"
    Then the answer is 401 with error kind bad_key, not run
    When a caller sends "a key in the query"
    Then the answer is 400 with error kind bad_request, not run
    When a caller sends "an unknown path"
    Then the answer is 404 with error kind not_found, not run
    When a caller sends "a signature without an idempotency key"
    Then the answer is 400 with error kind bad_request, not run
    When a caller sends "a signature under an old idempotency key"
    Then the answer is 400 with error kind bad_request, not run
    When a caller sends "two Content-Length headers"
    Then the answer is 400
    And the daemon still serves
