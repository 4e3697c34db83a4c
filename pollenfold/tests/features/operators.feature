Feature: Operators change the configuration
  Every refusal has one error kind and leaves the configuration as it was.

  Scenario Outline: A faulty request changes nothing
    Given a control replica with the zone "a" at version 1
    When an operator sends <fault>
    Then the answer is <status> with <error> and the run state <run_state>
    And the zone "a" is still at version 1

    Examples:
      | fault                   | status | error            | run_state       |
      | a wrong token           | 401    | unauthorized     | did_not_run     |
      | no token                | 401    | unauthorized     | did_not_run     |
      | garbage                 | 422    | bad_record       | did_not_run     |
      | an empty body           | 422    | bad_record       | did_not_run     |
      | a bad field             | 422    | bad_record       | did_not_run     |
      | a later schema          | 422    | bad_record       | did_not_run     |
      | an equal version        | 409    | version_conflict | did_not_run     |
      | a skipped version       | 409    | version_conflict | did_not_run     |
      | a bad change id         | 400    | bad_request      | did_not_run     |
      | a used change id        | 400    | bad_request      | did_not_run     |
      | a body over the limit   | 413    | body_too_large   | did_not_run     |
      | an unknown path         | 404    | not_found        | did_not_run     |
      | a record to a follower  | 421    | not_leader       | did_not_run     |
      | a read from a follower  | 421    | not_leader       | did_not_run     |
      | a record to a new leader | 503   | not_ready        | did_not_run     |

  Scenario: A resend gets the first answer
    Given a control replica with the zone "a" at version 1
    When an operator stores version 2 of the zone and the response is lost
    And another operator stores version 3 of the zone
    And the first operator sends the change again
    Then the answer is that of the first time
    And the zone "a" is at version 3

  Scenario: An outcome that is not known is reported as such
    Given a control replica with the zone "a" at version 1
    When the confirmation of a change is lost
    Then the answer is 503 with no_quorum and the run state outcome_unknown
    And the change id tells whether it was accepted

  Scenario: Fields of a later schema are returned
    Given a control replica with the zone "a" at version 1
    When an operator stores a record with an unknown field
    Then the field is named in the answer and returned with the record
