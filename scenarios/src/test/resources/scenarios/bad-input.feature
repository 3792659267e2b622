Feature: Bad input gets a clear error and harms nothing

  Scenario: Each kind of bad input
    Given 1 daemons in force
    When a caller sends "broken JSON"
    Then the answer is 400 and says bad_request, not run
    When a caller sends "no messages"
    Then the answer is 400 and says bad_request, not run
    When a caller sends "a negative bound of tokens"
    Then the answer is 400 and says bad_request, not run
    When a caller sends "more tokens than the burst"
    Then the answer is 400 and says bad_request, not run
    When a caller sends "an unknown model"
    Then the answer is 404 and says not_found, not run
    When a caller sends "a body over the limit"
    Then the answer is 413 and says too_large, not run
    When a caller sends "a wrong key"
    Then the answer is 401 and says bad_key, not run
    When a caller sends "no key"
    Then the answer is 401 and says bad_key, not run
    When a caller sends "a key in the query"
    Then the answer is 400 and says bad_request, not run
    When a caller sends "an unknown path"
    Then the answer is 404 and says not_found, not run
    When a caller sends "a signature without an idempotency key"
    Then the answer is 400 and says bad_request, not run
    When a caller sends "a signature under an old idempotency key"
    Then the answer is 400 and says bad_request, not run
    When a caller sends "two lengths"
    Then the answer is 400
    And the daemon goes on to serve
