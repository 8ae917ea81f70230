Feature: non-idempotent calls
  A confirmation takes effect at most once, and what the caller is told is true.

  Scenario: the entry dies before it answers, and the caller repeats through another
    Given a deployment
    And a ticket of "booking-1" for booking "b1"
    When the service beside "booking-1" answers after 1500 ms
    And the caller confirms booking "b1" through "entry-1"
    And 500 ms pass
    And "entry-1" receives SIGKILL
    And the caller confirms booking "b1" through "entry-2"
    Then the caller is told that booking "b1" ran
    And booking "b1" took effect 1 time

  Scenario: the target's process restarts with nothing before the repeat
    Given a deployment
    And a ticket of "booking-2" for booking "b2"
    When the caller confirms booking "b2" through "entry-1"
    Then the caller is told that booking "b2" ran
    When "booking-2" starts again under the same address
    And the caller confirms booking "b2" through "entry-2"
    Then the caller is told that the outcome of booking "b2" is unknown
    And booking "b2" took effect 1 time

  Scenario: the target's process is stopped for longer than every timeout, then continues
    Given a deployment
    And a ticket of "booking-1" for booking "b3"
    When "booking-1" receives SIGSTOP
    And the caller confirms booking "b3" through "entry-1"
    Then the caller is told that the outcome of booking "b3" is unknown
    When "booking-1" receives SIGCONT
    And 2000 ms pass
    And the caller confirms booking "b3" through "entry-2"
    Then what the caller was told of booking "b3" is true

  Scenario: the service takes effect and its answer is lost
    Given a deployment
    And a ticket of "booking-1" for booking "b4"
    When all plain services take effect without an answer
    And the caller confirms booking "b4" through "entry-1", with a new ticket if its target was paused
    Then the caller is told that the outcome of booking "b4" is unknown
    When the caller confirms booking "b4" through "entry-2"
    Then the caller is told that the outcome of booking "b4" is unknown
    And booking "b4" took effect 1 time

  Scenario: the target was paused before the call, and the answer under a new ticket is lost
    Given a deployment
    And a ticket of "booking-1" for booking "b4"
    When all plain services take effect without an answer
    And "booking-1" receives SIGSTOP
    And 1300 ms pass
    And "booking-1" receives SIGCONT
    And the caller confirms booking "b4" through "entry-1", with a new ticket if its target was paused
    Then the caller is told that the outcome of booking "b4" is unknown
    And booking "b4" took effect 1 time

  Scenario: one of four targets is gone and new calls are served
    Given a deployment
    When "booking-3" receives SIGKILL
    # Calls that were on their way at that moment have an unknown outcome.
    And 500 ms pass
    Then 40 new confirmations through "entry-1" are served with 0 refused
    And 40 new confirmations through "entry-2" are served with 0 refused
