Feature: Resends of non-idempotent requests while the ledger fails
  A resend with the key of an earlier request gets the result that the available
  replicas can prove. It is dispatched only when the earlier request did not run.

  Scenario Outline: A resend after a fault
    Given a ledger of <n> replicas
    And an earlier request with the same key is <state>
    When <fault>
    Then the resend gets the result "<result>"

    Examples: No fault
      | n | state              | fault           | result      |
      | 3 | claimed            | no fault occurs | in progress |
      | 3 | past its timeout   | no fault occurs | in doubt    |
      | 3 | completed          | no fault occurs | completed   |
      | 3 | abandoned          | no fault occurs | claimed     |
      | 3 | past its retention | no fault occurs | claimed     |

    Examples: One replica
      | n | state              | fault                  | result      |
      | 3 | claimed            | replica a is isolated  | in progress |
      | 3 | completed          | replica a is suspended | completed   |
      | 3 | abandoned          | replica a is stopped   | claimed     |
      | 3 | stored without c   | replica a is isolated  | completed   |
      | 5 | claimed            | replica a is stopped   | in progress |

    Examples: Disks
      | n | state              | fault                              | result      |
      | 3 | claimed            | replica a loses its disk           | in progress |
      | 3 | stored without c   | replicas a, b lose their disks     | completed   |
      | 3 | claimed            | replicas a, b lose their disks     | in progress |
      | 3 | completed          | the disk of replica a fails        | completed   |
      | 5 | completed          | replicas a, b, c lose their disks  | completed   |
      | 3 | claimed            | all replicas crash during a write  | in progress |

    Examples: Majority lost
      | n | state              | fault                      | result      |
      | 3 | abandoned          | replicas a, b are isolated | unavailable |
      | 3 | completed          | replicas a, b are isolated | unavailable |
      | 5 | completed          | replicas a, b are isolated | completed   |

    Examples: Split votes
      | n | state                    | fault                 | result      |
      | 3 | claimed with split votes | replica c is isolated | in doubt    |
      | 3 | claimed with split votes | no fault occurs       | in progress |
