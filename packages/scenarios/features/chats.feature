Feature: chats
  A caller receives the whole answer to its own request, from the adapter and version that it named.

  Scenario: the engine restarts with nothing loaded in the middle of an answer
    Given a deployment
    When a caller streams 150 tokens of "style-0001@v2" through "entry-1" as "s1"
    And stream "s1" has received 20 tokens
    And the serving engine restarts
    Then stream "s1" ends whole, with version "v2"

  Scenario: the process beside the engine is killed in the middle of an answer
    Given a deployment
    When a caller streams 150 tokens of "style-0001@v1" through "entry-1" as "s1"
    And stream "s1" has received 20 tokens
    And the serving target receives SIGKILL
    Then stream "s1" ends whole, with version "v1"

  Scenario Outline: the connection is <fault> in the middle of an answer
    Given a deployment
    When a caller streams 150 tokens of "style-0002@v1" through "entry-1" as "s1"
    And stream "s1" has received 20 tokens
    And the connections to the serving target become <fault>
    Then stream "s1" ends whole, with version "v1"

    Examples:
      | fault            |
      | silent           |
      | silent_from_node |
      | cut              |

  Scenario: a version is replaced while its predecessor has a chat in progress
    Given a deployment
    When a caller streams 300 tokens of "style-0003" through "entry-1" as "old"
    And stream "old" has received 10 tokens
    And an operator publishes revision 2 with current version "v2"
    Then revision 2 is in force at all nodes within 9 s
    And a chat with "style-0003" through "entry-1" is answered by "style-0003@v2"
    And stream "old" ends whole, with version "v1"

  Scenario: a load is wanted while every slot is in use
    Given a deployment whose engines have 1 slots
    When a caller streams 200 tokens of "style-0004@v1" through "entry-1" as "a"
    And a caller streams 200 tokens of "style-0005@v1" through "entry-2" as "b"
    And stream "a" has received 10 tokens
    And stream "b" has received 10 tokens
    And a caller streams 20 tokens of "style-0006@v1" through "entry-1" as "c"
    Then stream "c" ends whole, with version "v1"
    And stream "a" ends whole, with version "v1"
    And stream "b" ends whole, with version "v1"
    And no adapter was evicted in use
