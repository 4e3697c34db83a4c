Feature: Announcements of backend servers
  A backend server announces itself to any entry. No faulty announcement
  returns a leaving endpoint to service or stops the entry.

  Background:
    Given an entry that knows the service "pearl-market"

  Scenario: A first announcement brings the endpoint into service
    When the server announces incarnation 5, heartbeat 1, "serving"
    Then the response is 200 with reason ""
    And 1 endpoint serves
    And the peers received 1 push

  Scenario: A leave is announced to the peers and to the control leader
    Given the server announced incarnation 5, heartbeat 1, "serving"
    When the server announces incarnation 5, heartbeat 2, "leaving"
    Then the response is 200 with reason ""
    And 0 endpoints serve
    And a leave notice for incarnation 5 was sent

  Scenario Outline: Announcements out of order: <fault>
    Given the server announced incarnation 5, heartbeat 4, "<before>"
    When the server announces incarnation <incarnation>, heartbeat <heartbeat>, "<state>"
    Then the response is 200 with reason "<reason>"
    And <n_serving> endpoints serve

    Examples:
      | fault                     | before  | incarnation | heartbeat | state   | reason            | n_serving |
      | late                      | serving | 5           | 2         | serving |                   | 1         |
      | repeated                  | serving | 5           | 4         | serving |                   | 1         |
      | older incarnation         | serving | 4           | 9         | serving | older_incarnation | 1         |
      | older incarnation leaves  | serving | 4           | 9         | leaving | older_incarnation | 1         |
      | leaving then serving      | leaving | 5           | 5         | serving | leaving           | 0         |
      | leaving, then late        | leaving | 5           | 1         | serving | leaving           | 0         |
      | leaving twice             | leaving | 5           | 5         | leaving |                   | 0         |
      | leaving, then restarted   | leaving | 6           | 1         | serving |                   | 1         |

  Scenario Outline: Announcements that are rejected: <fault>
    When the server posts <body>
    Then the response is <status> with error "<error>"
    And 0 endpoints serve
    And the peers received 0 pushes

    Examples:
      | fault            | body                              | status | error           |
      | malformed JSON   | {                                 | 400    | bad_request     |
      | an array         | []                                | 400    | bad_request     |
      | deep nesting     | a deeply nested array             | 400    | bad_request     |
      | invalid UTF-8    | bytes that are not UTF-8          | 400    | bad_request     |
      | unknown service  | service = "elsewhere"             | 404    | unknown_service |
      | no service       | service = ""                      | 400    | bad_request     |
      | host name        | host = "db.internal"              | 400    | bad_request     |
      | port too large   | port = 65536                      | 400    | bad_request     |
      | negative counter | heartbeat = -1                    | 400    | bad_request     |
      | huge incarnation | incarnation = 9223372036854775808 | 400    | bad_request     |
      | float counter    | heartbeat = 1.5                   | 400    | bad_request     |
      | boolean slots    | slots = true                      | 400    | bad_request     |
      | no slots         | slots = 0                         | 400    | bad_request     |
      | oversized ttl    | ttl_ms = 1e300                    | 400    | bad_request     |
      | unknown state    | state = "sleeping"                | 400    | bad_request     |
