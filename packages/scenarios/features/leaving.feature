Feature: planned stops
  A leaving node gets no new work, and no request in progress is cut off.

  Scenario: a target is stopped while it streams
    Given a deployment
    When a caller streams 200 tokens of "style-0001@v1" through "entry-1" as "s1"
    And stream "s1" has received 10 tokens
    And the serving target receives SIGTERM
    And a caller streams 20 tokens of "style-0001@v1" through "entry-1" as "s2"
    Then stream "s1" ends whole, with version "v1"
    And stream "s2" ends whole, with version "v1"
    And no stream through "entry-1" had to be continued elsewhere

  Scenario: an entry is stopped while it streams
    Given a deployment
    When a caller streams 300 tokens of "style-0001@v1" through "entry-1" as "s1"
    And stream "s1" has received 10 tokens
    And "entry-1" receives SIGTERM
    Then stream "s1" ends whole, with version "v1"
    And the process of "entry-1" ends with exit code 0

  Scenario: a target is stopped while the configuration service is absent
    Given a deployment
    When the configuration service is absent
    And a caller streams 200 tokens of "style-0002@v1" through "entry-1" as "s1"
    And stream "s1" has received 10 tokens
    And the serving target receives SIGTERM
    Then stream "s1" ends whole, with version "v1"
    And no stream through "entry-1" had to be continued elsewhere
    And 20 new confirmations through "entry-2" are served with 0 refused

  Scenario: all booking targets restart in turn under load
    Given a deployment
    When the booking targets restart in turn while callers confirm through both entries
    Then no confirmation took effect twice and each caller was told the truth
    And at most 5 of 100 confirmations were refused

  Scenario: all engines' nodes restart in turn under load
    Given a deployment
    When the assistant targets restart in turn while callers stream through both entries
    Then no stream was cut off and at most 5 of 100 were refused
