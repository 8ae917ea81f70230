Feature: configuration
  An accepted configuration is in force everywhere within seconds and never reverts.

  Scenario: an entry starts while the configuration service serves an old copy
    Given a deployment
    When an operator publishes revision 2 with current version "v2"
    Then revision 2 is in force at all nodes within 9 s
    When the configuration service serves the copy before the last
    And "entry-1" starts again under the same address
    Then "entry-1" has revision 2 in force once it is ready
    And a chat with "style-0001" through "entry-1" is answered by "style-0001@v2"

  Scenario: an entry starts while the configuration service is absent
    Given a deployment
    When an operator publishes revision 2 with current version "v2"
    Then revision 2 is in force at all nodes within 9 s
    When the configuration service is absent
    And "entry-2" starts again under the same address
    Then "entry-2" has revision 2 in force once it is ready

  Scenario: two operators publish at once
    Given a deployment
    When an operator publishes revision 2 with current version "v2"
    And an operator publishes revision 2 with current version "v1"
    Then revision 2 is in force at all nodes within 9 s
