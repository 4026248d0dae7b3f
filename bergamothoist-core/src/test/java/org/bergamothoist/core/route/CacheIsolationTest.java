package org.bergamothoist.core.route;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.OptionalInt;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class CacheIsolationTest {

    /** Returns the isolation of organisations; the names of isolated ones end in "!". */
    private static CacheIsolation isolation(String names) {
        List<Organisation> organisations =
                Arrays.stream(names.split(" "))
                        .filter(name -> !name.isEmpty())
                        .map(
                                name ->
                                        new Organisation(
                                                name.replace("!", ""),
                                                List.of(),
                                                OptionalInt.empty(),
                                                name.endsWith("!")))
                        .toList();
        return new CacheIsolation(organisations);
    }

    private static CacheOwner owner(String names, String organisation) {
        return isolation(names).owner(Optional.ofNullable(organisation));
    }

    /**
     * Guards against others that use what an organisation made before it became isolated, and
     * against losing shared parts by changes that isolate nobody.
     */
    @ParameterizedTest
    @CsvSource({
        // Configuration before, configuration after, whether the other one keeps its parts.
        "one two, one! two, false",
        "one! two, one two, false",
        "one! two, one! two three, true",
        "one! two, two one!, true",
        "one! two, one! two three!, false",
        "one! two, two, false",
        "one two, two, true",
        "one! two, renamed! two, false"
    })
    void groupChangesWithTheOrganisationsThatAreIsolated(
            String before, String after, boolean same) {
        assertThat(owner(after, "two").equals(owner(before, "two"))).isEqualTo(same);
    }

    /** Guards against a group that depends on the order in which changes arrive. */
    @Test
    void daemonsWithTheSameConfigurationAgreeWhateverTheySawBefore() {
        CacheOwner before = owner("one two", "two");
        assertThat(owner("one! two", "two")).isNotEqualTo(before);
        assertThat(owner("one two", "two")).isEqualTo(before);
        assertThat(owner("one two", null)).isEqualTo(before);
    }

    /** Guards against sharing by an organisation that is removed while its request waits. */
    @Test
    void removedOrganisationSharesNothing() {
        assertThat(owner("two", "one")).isNotEqualTo(owner("two", "two"));
    }

    /** Guards against one owner for names that one character set cannot tell apart. */
    @Test
    void namesInAnyScriptHaveDifferentOwnersInAscii() {
        CacheOwner first = owner("صنعاء! مسقط!", "صنعاء");
        CacheOwner second = owner("صنعاء! مسقط!", "مسقط");
        assertThat(first).isNotEqualTo(second);
        assertThat(first.key() + second.key()).matches("[a-z0-9-]+");
    }
}
