Feature: Fault table of the fake backend server
  Tests of the load balancer rely on the behaviour of each fault in this table, and on
  the counts that show whether a request was executed.

  Scenario Outline: one fault, one request
    Given a backend server with the fault <fault> of <delay> ms
    When a caller sends a request with the key "k1"
    Then the caller gets <result>
    And the request with the key "k1" was executed <runs> times
    And the exchange took at least <delay> ms
    And the connection is reusable: <reusable>

    Examples:
      | fault             | delay | result              | runs | reusable |
      | none              | 0     | a complete response | 1    | yes      |
      | slow              | 100   | a complete response | 1    | yes      |
      | fail_fast         | 0     | status 500          | 0    | yes      |
      | shed              | 0     | a not-started 503   | 0    | yes      |
      | hang              | 0     | nothing for 300 ms  | 1    | no       |
      | close_before_run  | 0     | no_response         | 0    | no       |
      | close_after_run   | 0     | no_response         | 1    | no       |
      | late_answer       | 100   | a complete response | 1    | yes      |
      | truncated_answer  | 0     | bad_response        | 1    | no       |
      | overlong_answer   | 0     | a complete response | 1    | no       |
      | duplicated_answer | 0     | a complete response | 1    | no       |
      | misleading_load   | 0     | a complete response | 1    | yes      |
      | stale_load        | 0     | a complete response | 1    | yes      |
      | unhealthy         | 0     | a complete response | 1    | yes      |
