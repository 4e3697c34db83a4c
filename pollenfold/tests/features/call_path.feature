Feature: Call path of an entry
  Every caller gets its own complete response, or one error kind that shows whether the
  request was executed. A non-idempotent request is executed at most once.

  Scenario Outline: A <method> while the first of <n_servers> servers has "<fault>"
    Given a service with <n_servers> servers, the first with the fault <fault>
    When a caller sends <method> with the key "<key>"
    Then the response is <status>, "<error>", "<run_state>"
    And the servers executed it <n_runs> times
    And a resend of the key is not executed
    And five later requests get their own complete responses

    Examples: idempotent, one server
      | method | key | fault             | n_servers | status | error             | run_state       | n_runs |
      | GET    |     | none              | 1         | 200    |                   |                 | 1      |
      | GET    |     | late_answer       | 1         | 200    |                   |                 | 1      |
      | GET    |     | overlong_answer   | 1         | 200    |                   |                 | 1      |
      | GET    |     | duplicated_answer | 1         | 200    |                   |                 | 1      |
      | GET    |     | truncated_answer  | 1         | 502    | backend_failed    | outcome_unknown | 1      |
      | GET    |     | close_before_run  | 1         | 502    | backend_failed    | outcome_unknown | 0      |
      | GET    |     | close_after_run   | 1         | 502    | backend_failed    | outcome_unknown | 1      |
      | GET    |     | hang              | 1         | 504    | deadline_exceeded | outcome_unknown | 1      |
      | GET    |     | shed              | 1         | 503    | backend_refused   | did_not_run     | 0      |
      | GET    |     | fail_fast         | 1         | 500    |                   |                 | 0      |

    Examples: idempotent, a second server
      | method | key | fault             | n_servers | status | error             | run_state       | n_runs |
      | GET    |     | truncated_answer  | 2         | 200    |                   |                 | 2      |
      | GET    |     | close_before_run  | 2         | 200    |                   |                 | 1      |
      | GET    |     | close_after_run   | 2         | 200    |                   |                 | 2      |
      | GET    |     | hang              | 2         | 200    |                   |                 | 2      |
      | GET    |     | shed              | 2         | 200    |                   |                 | 1      |
      | GET    |     | fail_fast         | 2         | 200    |                   |                 | 1      |

    Examples: non-idempotent, a second server
      | method | key | fault             | n_servers | status | error             | run_state       | n_runs |
      | POST   | k   | none              | 2         | 200    |                   | ran             | 1      |
      | POST   | k   | late_answer       | 2         | 200    |                   | ran             | 1      |
      | POST   | k   | overlong_answer   | 2         | 200    |                   | ran             | 1      |
      | POST   | k   | duplicated_answer | 2         | 200    |                   | ran             | 1      |
      | POST   | k   | truncated_answer  | 2         | 502    | outcome_unknown   | outcome_unknown | 1      |
      | POST   | k   | close_before_run  | 2         | 502    | outcome_unknown   | outcome_unknown | 0      |
      | POST   | k   | close_after_run   | 2         | 502    | outcome_unknown   | outcome_unknown | 1      |
      | POST   | k   | hang              | 2         | 502    | outcome_unknown   | outcome_unknown | 1      |
      | POST   | k   | shed              | 2         | 200    |                   | ran             | 1      |
      | POST   | k   | refused           | 2         | 200    |                   | ran             | 1      |
      | POST   | k   | fail_fast         | 2         | 500    |                   | ran             | 0      |

    Examples: non-idempotent, no server left
      | method | key | fault             | n_servers | status | error             | run_state       | n_runs |
      | POST   |     | shed              | 1         | 503    | backend_refused   | did_not_run     | 0      |
      | POST   |     | refused           | 1         | 503    | backend_refused   | did_not_run     | 0      |
      | GET    |     | refused           | 1         | 503    | backend_refused   | did_not_run     | 0      |

  Scenario Outline: A server responds to a <method> with <bytes>
    Given a service whose only server sends <bytes>
    When a caller sends <method> with the key "<key>"
    Then the response is <status>, "<error>", "<run_state>"
    And its connection is closed

    Examples:
      | bytes                  | method | key | status | error           | run_state       |
      | malformed bytes        | GET    |     | 502    | backend_failed  | outcome_unknown |
      | malformed bytes        | POST   | k   | 502    | outcome_unknown | outcome_unknown |
      | a partial head         | POST   | k   | 502    | outcome_unknown | outcome_unknown |
      | an unframed body       | GET    |     | 502    | backend_failed  | outcome_unknown |
      | two lengths            | POST   | k   | 502    | outcome_unknown | outcome_unknown |
      | an endless head        | GET    |     | 502    | backend_failed  | outcome_unknown |
      | a foreign exchange id  | GET    |     | 502    | backend_failed  | outcome_unknown |

  Scenario Outline: Immediate refusal of a <method>: <reason>
    Given a service with 1 servers, the first with the fault none
    And the refusal cause <reason>
    When a caller sends <method> with the key "<key>"
    Then the response is <status>, "<error>", "<run_state>"
    And Retry-After is "<retry_after>"
    And the response arrived within 500 ms
    And the servers executed it 0 times

    Examples:
      | reason              | method | key | status | error             | run_state       | retry_after |
      | queue full          | GET    |     | 503    | queue_full        | did_not_run     | 1           |
      | queue full          | POST   |     | 503    | queue_full        | did_not_run     | 1           |
      | queue full          | POST   | k   | 503    | queue_full        | did_not_run     | 1           |
      | deadline too short  | GET    |     | 504    | deadline_exceeded | did_not_run     | 1           |
      | deadline too short  | POST   |     | 504    | deadline_exceeded | did_not_run     | 1           |
      | deadline of 0 ms    | GET    |     | 504    | deadline_exceeded | did_not_run     | 1           |
      | no lease            | GET    |     | 503    | no_lease          | did_not_run     | 2           |
      | no lease            | POST   |     | 503    | no_lease          | did_not_run     | 2           |
      | no lease            | POST   | k   | 503    | no_lease          | outcome_unknown | 2           |
      | no endpoints        | GET    |     | 503    | no_backend_server | did_not_run     | 1           |
      | no endpoints        | POST   |     | 503    | no_backend_server | did_not_run     | 1           |
      | no endpoints        | POST   | k   | 503    | no_backend_server | did_not_run     | 1           |
      | unknown service     | GET    |     | 404    | unknown_service   | did_not_run     |             |
      | prefix of a segment | GET    |     | 404    | unknown_service   | did_not_run     |             |
      | body too large      | POST   |     | 413    | body_too_large    | did_not_run     |             |
      | body too large      | POST   | k   | 413    | body_too_large    | outcome_unknown |             |
      | bad timeout header  | GET    |     | 400    | bad_request       | did_not_run     |             |
      | bad timeout header  | POST   |     | 400    | bad_request       | did_not_run     |             |
      | key too long        | POST   |     | 400    | bad_request       | outcome_unknown |             |
      | empty key           | POST   |     | 400    | bad_request       | outcome_unknown |             |
      | ledger unavailable  | POST   | k   | 503    | ledger_unavailable | outcome_unknown | 1          |
      | ledger unavailable  | POST   |     | 503    | ledger_unavailable | did_not_run    | 1           |

  Scenario Outline: A lease that expires while a <method> is queued
    Given a service with 1 servers, the first with the fault none
    And the refusal cause lease lost while queued
    When a caller sends <method> with the key "<key>"
    Then the response is 503, "no_lease", "did_not_run"
    And Retry-After is "2"
    And the servers executed it 0 times

    Examples:
      | method | key |
      | GET    |     |
      | POST   |     |
      | POST   | k   |
