Feature: Operators change the configuration
  Every refusal has exactly one error kind and leaves the configuration unchanged.

  Scenario Outline: An invalid request changes nothing
    Given a control replica with the zone "a" at version 1
    When an operator sends <fault>
    Then the response is <status> with <error> and the run state <run_state>
    And the zone "a" is still at version 1

    Examples:
      | fault                   | status | error            | run_state       |
      | a wrong token           | 401    | unauthorized     | did_not_run     |
      | no token                | 401    | unauthorized     | did_not_run     |
      | malformed JSON          | 422    | bad_record       | did_not_run     |
      | an empty body           | 422    | bad_record       | did_not_run     |
      | an invalid field        | 422    | bad_record       | did_not_run     |
      | a later schema          | 422    | bad_record       | did_not_run     |
      | an equal version        | 409    | version_conflict | did_not_run     |
      | a skipped version       | 409    | version_conflict | did_not_run     |
      | an invalid change id    | 400    | bad_request      | did_not_run     |
      | a reused change id      | 400    | bad_request      | did_not_run     |
      | a body over the limit   | 413    | body_too_large   | did_not_run     |
      | an unknown path         | 404    | not_found        | did_not_run     |
      | a record to a follower  | 421    | not_leader       | did_not_run     |
      | a read from a follower  | 421    | not_leader       | did_not_run     |
      | a record to a new leader | 503   | not_ready        | did_not_run     |

  Scenario: A resend gets the first response
    Given a control replica with the zone "a" at version 1
    When an operator stores version 2 of the zone and the response is lost
    And another operator stores version 3 of the zone
    And the first operator sends the change again
    Then the response is the same as the first one
    And the zone "a" is at version 3

  Scenario: An unknown outcome is reported as such
    Given a control replica with the zone "a" at version 1
    When the confirmation of a change is lost
    Then the response is 503 with no_quorum and the run state outcome_unknown
    And a query by change id shows whether it was accepted

  Scenario: Fields of a later schema are returned
    Given a control replica with the zone "a" at version 1
    When an operator stores a record with an unknown field
    Then the response names the field and the record still contains it
