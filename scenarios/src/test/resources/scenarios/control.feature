Feature: Leases, rules and usage stay consistent under failure

  Scenario: Traffic continues and no usage is lost while the log is unavailable
    Given 3 running daemons
    When the log becomes unavailable
    And every lease has expired
    And each daemon is asked for 10 tokens, 5 times at once
    Then every caller gets the complete answer, byte for byte
    When a signature is sent to each daemon under one idempotency key
    Then each signature is refused as ran no
    And the service has run it 0 times
    When all faults are cleared
    Then the reported requests equal the finished answers, and no usage window is reported with differing figures

  Scenario Outline: Another daemon takes over the usage duty, and no usage window is reported with differing figures
    Given 3 running daemons
    When each daemon is asked for 10 tokens, 5 times at once
    Then every caller gets the complete answer, byte for byte
    When 500 of 1000 usage answers are lost
    And the holder of the usage duty is <fate>
    Then within 10000 ms another daemon holds the usage duty
    And the reported requests equal the finished answers, and no usage window is reported with differing figures

    Examples:
      | fate   |
      | killed |
      | frozen |

  Scenario: A daemon that was frozen beyond its lease resumes without its duties
    Given 3 running daemons
    When the holder of the usage duty is frozen
    Then within 10000 ms another daemon holds the usage duty
    When the frozen daemon resumes
    And each daemon is asked for 10 tokens, 5 times at once
    Then every caller gets the complete answer or an explicit error
    And the reported requests equal the finished answers, and no usage window is reported with differing figures

  Scenario: A revoked key is rejected everywhere, for connected callers too
    Given 3 running daemons
    When each daemon is asked for 5000 tokens, streamed
    And the streams have started
    And the key is revoked through daemon 2
    Then within 3000 ms every daemon rejects the key
    And within 1000 ms the running streams have ended with bad_key

  Scenario: A revoked key is rejected by a daemon that is cut off from the log
    Given 3 running daemons
    When daemon 1 is cut off from the log
    And the key is revoked through daemon 2
    Then within 3000 ms every daemon rejects the key

  Scenario: A revoked key is rejected by a daemon that is cut off from the log and from all other daemons
    Given 3 running daemons
    When the daemons are cut off from each other
    And daemon 1 is half-open towards the log
    And the key is revoked through daemon 2
    Then within 3000 ms every daemon rejects the key

  Scenario: Of two concurrent rule changes one is accepted and the other gets a conflict
    Given 3 running daemons
    When two operators apply different rules based on one version
    Then one of them is accepted, the other is refused with a conflict, and all daemons agree

  Scenario: Rules are in force everywhere within seconds even if the log is slow
    Given 7 running daemons
    Then rules applied through daemon 3 are in force everywhere within 2000 ms
    When the log delays each answer by 200 ms, reads lag by 200 ms and 200 of 1000 append answers are lost
    Then rules applied through daemon 4 are in force everywhere within 8000 ms
    When daemon 5 is killed and restarted
    Then rules applied through daemon 1 are in force everywhere within 8000 ms

  Scenario: A daemon that starts from a trimmed log has the current rules
    Given 3 running daemons and a log that retains 100 records
    Then the log was trimmed, and a newly started daemon serves with the same rules

  Scenario Outline: Each engine gets one distinct order, even if the holder of the duty is <fate>
    Given 3 running daemons
    When the rules assign engine 1 the role decode
    Then within 15000 ms engine 1 has the role decode, after 1 distinct order
    When the rules assign engine 2 the role prefill
    And the holder of the fleet/m duty is <fate>
    Then within 10000 ms another daemon holds the fleet/m duty
    And within 20000 ms engine 2 has the role prefill, after 1 distinct order
    And within 100 ms engine 1 has the role decode, after 1 distinct order

    Examples:
      | fate   |
      | killed |
      | frozen |
