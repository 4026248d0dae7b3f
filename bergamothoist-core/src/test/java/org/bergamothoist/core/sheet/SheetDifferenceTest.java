package org.bergamothoist.core.sheet;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bergamothoist.core.log.LogRecordFixtures.organisation;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;

class SheetDifferenceTest {

    private static final OrganisationId ORGANISATION = new OrganisationId("o");
    private static final Map<OrganisationId, OrganisationState> CURRENT =
            Map.of(ORGANISATION, new OrganisationState(organisation("o", 0, 5), 7, "bern"));

    private static SheetDifference compare(OrganisationEntry... entries) {
        return SheetDifference.between(
                id -> Optional.ofNullable(CURRENT.get(id)), List.of(entries));
    }

    @Test
    @DisplayName("guards against reporting changes where the content is equal")
    void equalContentHasNoDifference() {
        assertThat(compare(organisation("o", 3, 5)).text()).isEqualTo("no changes\n");
    }

    @Test
    @DisplayName("guards against a change or conflict that is missing in the text for operators")
    void listsEveryChange() {
        OrganisationEntry changed =
                new OrganisationEntry(
                        ORGANISATION,
                        3,
                        "key-o",
                        List.of(new ModelEntitlement(new ModelKey("m", "base", "2"), false)),
                        List.of(new ServiceEntitlement("s", "/p", true)),
                        new OrganisationLimits(6, 10, 1));
        assertThat(compare(changed, organisation("p", 0, 1)).text())
                .isEqualTo(
                        """
                        o: version 7 by office bern, but the sheet is based on 3
                          - model m/base/1: idempotent
                          + model m/base/2: idempotent
                          + service s/p: non-idempotent
                          ~ requests per second: 5 -> 6
                        p: new organisation
                          + caller key: key-p
                          + model m/base/1: idempotent
                          + requests per second: 1
                          + concurrent streams: 10
                          + weight: 1
                        """);
    }

    @Test
    @DisplayName(
            "guards against a digest that depends on the order of rows or ignores base versions")
    void digestIgnoresOrderButNotBaseVersion() {
        OrganisationEntry first = organisation("o", 1, 1);
        OrganisationEntry second = organisation("p", 1, 1);
        String digest = SheetDigest.of(List.of(first, second));
        assertThat(SheetDigest.of(List.of(second, first))).isEqualTo(digest);
        assertThat(SheetDigest.of(List.of(first, organisation("p", 2, 1)))).isNotEqualTo(digest);
    }
}
