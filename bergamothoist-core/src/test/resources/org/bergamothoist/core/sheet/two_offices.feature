Feature: Sheets of two offices
  Two offices edit the same organisations without talking to each other. What one of them changes must never surprise the other.

  Background:
    Given office "biel" has submitted "clinic" with weight 1

  Scenario: The office that is slower learns what the other one changed
    When office "biel" submits "clinic" with weight 5, made from the current version
    And office "solothurn" submits "clinic" with weight 9, made from the first version
    Then the sheet of office "solothurn" is refused because office "biel" changed "clinic"
    And "clinic" has weight 5

  Scenario: An organisation that a sheet does not name stays as it is
    When office "solothurn" submits "workshop" with weight 2, made from the first version
    Then the sheet of office "solothurn" is accepted
    And "clinic" has weight 1
    And "workshop" has weight 2

  Scenario: A sheet that is sent again after a lost answer is the same sheet
    When office "biel" submits "clinic" with weight 5, made from the current version
    And office "biel" sends the same sheet again
    Then the sheet of office "biel" is accepted
    And both sendings have the same first record
    And "clinic" has weight 5
