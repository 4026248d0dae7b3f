Feature: Conflicting sheets of two offices
  Two offices change the same organisations independently. Neither office may silently overwrite a change by the other.

  Background:
    Given office "biel" has submitted "clinic" with weight 1

  Scenario: A sheet based on an outdated version is refused, naming the office that submitted the current one
    When office "biel" submits "clinic" with weight 5, based on the current version
    And office "solothurn" submits "clinic" with weight 9, based on the first version
    Then the sheet of office "solothurn" is refused because office "biel" changed "clinic"
    And "clinic" has weight 5

  Scenario: An organisation that is not in a sheet stays unchanged
    When office "solothurn" submits "workshop" with weight 2, based on the first version
    Then the sheet of office "solothurn" is accepted
    And "clinic" has weight 1
    And "workshop" has weight 2

  Scenario: A sheet that is submitted again after a lost response is detected as a duplicate
    When office "biel" submits "clinic" with weight 5, based on the current version
    And office "biel" submits the same sheet again
    Then the sheet of office "biel" is accepted
    And the second submission is a duplicate of the first
    And "clinic" has weight 5
