Feature: Callers get whole answers to their own requests

  Scenario: Answers come whole through every daemon, and no endpoint sees the key
    Given 3 daemons in force
    When each daemon is asked for 20 tokens, streamed
    Then every caller gets the whole answer, byte for byte
    And no endpoint has received the key
    And the reported requests equal the finished answers, and no window has two sets of figures

  Scenario: Crossed, doubled, truncated and broken answers never reach a caller
    Given 3 daemons in force
    When 300 of 1000 engine answers show CROSS
    And each daemon is asked for 10 tokens, 10 times at once
    Then every caller gets the whole answer or an error that says so
    When 300 of 1000 engine answers show DOUBLE
    And each daemon is asked for 10 tokens, 10 times at once
    Then every caller gets the whole answer, byte for byte
    When 300 of 1000 engine answers show TRUNCATE
    And each daemon is asked for 10 tokens, 10 times at once
    Then every caller gets the whole answer or an error that says so
    When 300 of 1000 engine answers show BREAK
    And each daemon is asked for 10 tokens, 10 times at once
    Then every caller gets the whole answer or an error that says so
    And the reported requests equal the finished answers, and no window has two sets of figures

  Scenario: An endpoint stops work for a caller that has vanished
    Given 3 daemons in force
    When a caller vanishes amid a stream of 5000 tokens
    Then within 3000 ms the endpoints have stopped its work

  Scenario: Every daemon is replaced gracefully under traffic
    Given 3 daemons in force
    When each daemon in turn is replaced gracefully under traffic
    Then the reported requests equal the finished answers, and no window has two sets of figures

  Scenario: A signature runs once, whoever is asked and however answers get lost
    Given 3 daemons in force
    When a signature is sent to each daemon under one idempotency key
    Then the service has run it 1 time
    And each signature is answered alike
    When 1000 of 1000 service answers are lost
    And a signature is sent to each daemon under one idempotency key
    Then the service has run it 1 time
    And each signature is refused as ran unknown

  Scenario: A request that crashes endpoints is caught, and its neighbours are not blamed
    Given 3 daemons in force
    When a request that crashes endpoints is sent through daemon 1 beside 6 others
    Then every other caller gets the whole answer
    And within 500 ms every daemon refuses it without running it

  Scenario: An endpoint that the platform takes back gets no new work
    Given 3 daemons in force
    When the platform announces to take engine 1 back
    Then within 2000 ms engine 1 gets no new work
