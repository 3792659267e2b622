Feature: Authority, rules and usage hold under failure

  Scenario: Traffic goes on and nothing is lost while the log is out
    Given 3 daemons in force
    When the log goes out
    And every lease has run out
    And each daemon is asked for 10 tokens, 5 times at once
    Then every caller gets the whole answer, byte for byte
    When a signature is sent to each daemon under one idempotency key
    Then each signature is refused as ran no
    And the service has run it 0 times
    When all is well again
    Then the reported requests equal the finished answers, and no window has two sets of figures

  Scenario Outline: Another daemon takes over usage, and no window is reported twice with different figures
    Given 3 daemons in force
    When each daemon is asked for 10 tokens, 5 times at once
    Then every caller gets the whole answer, byte for byte
    When 500 of 1000 usage answers are lost
    And the holder of the usage duty is <fate>
    Then within 10000 ms another daemon holds the usage duty
    And the reported requests equal the finished answers, and no window has two sets of figures

    Examples:
      | fate   |
      | killed |
      | frozen |

  Scenario: A daemon that was frozen beyond its lease comes back without its duties
    Given 3 daemons in force
    When the holder of the usage duty is frozen
    Then within 10000 ms another daemon holds the usage duty
    When the frozen daemon wakes
    And each daemon is asked for 10 tokens, 5 times at once
    Then every caller gets the whole answer or an error that says so
    And the reported requests equal the finished answers, and no window has two sets of figures

  Scenario: A withdrawn key stops everywhere, for connected callers too
    Given 3 daemons in force
    When each daemon is asked for 5000 tokens, streamed
    And the streams have begun
    And the key is withdrawn through daemon 2
    Then within 3000 ms no daemon takes the key
    And within 1000 ms the streams under way have ended with bad_key

  Scenario: A withdrawn key stops on a daemon that is cut off from the log
    Given 3 daemons in force
    When daemon 1 is cut off from the log
    And the key is withdrawn through daemon 2
    Then within 3000 ms no daemon takes the key

  Scenario: A withdrawn key stops on a daemon that is cut off from the log and from all others
    Given 3 daemons in force
    When the daemons are cut off from each other
    And daemon 1 is half-open towards the log
    And the key is withdrawn through daemon 2
    Then within 3000 ms no daemon takes the key

  Scenario: Of two racing operators one wins and the other is told
    Given 3 daemons in force
    When two operators apply different rules based on one version
    Then one of them is accepted, the other is told to read again, and all daemons agree

  Scenario: Rules are in force everywhere within seconds though the log is slow
    Given 7 daemons in force
    Then rules applied through daemon 3 are in force everywhere within 2000 ms
    When the log delays each answer by 200 ms, reads lag by 200 ms and 200 of 1000 append answers are lost
    Then rules applied through daemon 4 are in force everywhere within 8000 ms
    When daemon 5 is killed and started anew
    Then rules applied through daemon 1 are in force everywhere within 8000 ms

  Scenario: A daemon that starts on a trimmed log comes up right
    Given 3 daemons before a log that keeps 100 records
    Then the log was trimmed, and a daemon that starts now serves by the same rules

  Scenario Outline: Engines are ordered once each, though the holder of the duty is <fate>
    Given 3 daemons in force
    When rules want engine 1 to be decode
    Then within 15000 ms engine 1 is decode, by 1 kind of order
    When rules want engine 2 to be prefill
    And the holder of the fleet/m duty is <fate>
    Then within 10000 ms another daemon holds the fleet/m duty
    And within 20000 ms engine 2 is prefill, by 1 kind of order
    And within 100 ms engine 1 is decode, by 1 kind of order

    Examples:
      | fate   |
      | killed |
      | frozen |
