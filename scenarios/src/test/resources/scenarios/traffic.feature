Feature: Callers get complete answers to their own requests

  Scenario: Answers through every daemon are complete, and no endpoint sees the key
    Given 3 running daemons
    When each daemon is asked for 20 tokens, streamed
    Then every caller gets the complete answer, byte for byte
    And no endpoint has received the key
    And the reported requests equal the finished answers, and no usage window is reported with differing figures

  Scenario: Crossed, duplicated, truncated and broken engine answers never reach a caller
    Given 3 running daemons
    When 300 of 1000 engine answers have the fault CROSS
    And each daemon is asked for 10 tokens, 10 times at once
    Then every caller gets the complete answer or an explicit error
    When 300 of 1000 engine answers have the fault DOUBLE
    And each daemon is asked for 10 tokens, 10 times at once
    Then every caller gets the complete answer, byte for byte
    When 300 of 1000 engine answers have the fault TRUNCATE
    And each daemon is asked for 10 tokens, 10 times at once
    Then every caller gets the complete answer or an explicit error
    When 300 of 1000 engine answers have the fault BREAK
    And each daemon is asked for 10 tokens, 10 times at once
    Then every caller gets the complete answer or an explicit error
    And the reported requests equal the finished answers, and no usage window is reported with differing figures

  Scenario: An endpoint cancels the request of a caller that has disconnected
    Given 3 running daemons
    When a caller disconnects during a stream of 5000 tokens
    Then within 3000 ms the endpoints have cancelled its request

  Scenario: Every daemon is replaced gracefully under traffic
    Given 3 running daemons
    When each daemon in turn is replaced gracefully under traffic
    Then the reported requests equal the finished answers, and no usage window is reported with differing figures

  Scenario: A signature runs once, whichever daemon gets it and even if answers are lost
    Given 3 running daemons
    When a signature is sent to each daemon under one idempotency key
    Then the service has run it 1 time
    And each signature gets the same answer
    When 1000 of 1000 service answers are lost
    And a signature is sent to each daemon under one idempotency key
    Then the service has run it 1 time
    And each signature is refused as ran unknown

  Scenario: A poison request is refused, and concurrent requests are unaffected
    Given 3 running daemons
    When a poison request is sent through daemon 1 beside 6 others
    Then every other caller gets the complete answer
    And within 500 ms every daemon refuses it without running it

  Scenario: An endpoint that the platform reclaims gets no new requests
    Given 3 running daemons
    When the platform announces that it reclaims engine 1
    Then within 2000 ms engine 1 gets no new requests
