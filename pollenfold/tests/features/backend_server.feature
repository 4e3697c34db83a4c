Feature: Fault table of the fake backend server
  Tests of the load balancer rely on each fault doing what its row says, and on the
  counts that show whether a request ran.

  Scenario Outline: one fault, one request
    Given a backend server with the fault <fault>
    When a caller sends a request with the key "k1"
    Then the caller sees <seen>
    And the key "k1" ran <runs> times
    And the connection is reusable: <reusable>

    Examples:
      | fault             | seen                | runs | reusable |
      | none              | a whole answer      | 1    | yes      |
      | slow              | a whole answer      | 1    | yes      |
      | fail_fast         | status 500          | 0    | yes      |
      | shed              | a not-started 503   | 0    | yes      |
      | hang              | nothing for 300 ms  | 1    | no       |
      | close_before_run  | no_response         | 0    | no       |
      | close_after_run   | no_response         | 1    | no       |
      | late_answer       | a whole answer      | 1    | yes      |
      | truncated_answer  | bad_response        | 1    | no       |
      | overlong_answer   | a whole answer      | 1    | no       |
      | duplicated_answer | a whole answer      | 1    | no       |
      | misleading_load   | a whole answer      | 1    | yes      |
      | stale_load        | a whole answer      | 1    | yes      |
      | unhealthy         | a whole answer      | 1    | yes      |
