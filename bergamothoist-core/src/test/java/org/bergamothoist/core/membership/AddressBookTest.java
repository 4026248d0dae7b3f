package org.bergamothoist.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.junit.jupiter.api.Test;

class AddressBookTest {

    private final List<RosterMember> serving =
            new ArrayList<>(IntStream.range(0, 6).mapToObj(AddressBookTest::member).toList());
    private final AddressBook book =
            new AddressBook(() -> serving, "biel-a", Duration.ofSeconds(5));

    /** Guards against callers that change daemons with each answer, faster than shares follow. */
    @Test
    void answersTheSameDaemonToTheSameAffinity() {
        String first = first(Optional.of("customer 7"));
        assertThat(IntStream.range(0, 20).mapToObj(ignored -> first(Optional.of("customer 7"))))
                .containsOnly(first);
        serving.removeIf(member -> !member.callerAddress().equals(first));
        assertThat(first(Optional.of("customer 7"))).isEqualTo(first);
    }

    /** Guards against affinities that all meet on one daemon. */
    @Test
    void spreadsAffinitiesOverAllDaemons() {
        Set<String> used =
                IntStream.range(0, 100)
                        .mapToObj(customer -> first(Optional.of("customer " + customer)))
                        .collect(Collectors.toSet());
        assertThat(used).hasSize(6);
    }

    /** Guards against callers without affinity that all use one daemon. */
    @Test
    void spreadsCallersWithoutAffinity() {
        Set<String> used =
                IntStream.range(0, 4)
                        .mapToObj(ignored -> first(Optional.empty()))
                        .collect(Collectors.toSet());
        assertThat(used).hasSize(2);
    }

    private String first(Optional<String> affinity) {
        return book.answer(Optional.empty(), affinity).addresses().get(0).address();
    }

    private static RosterMember member(int index) {
        String dataCentre = index < 2 ? "biel-a" : "bern-b";
        return new RosterMember(
                new DaemonId("entry-" + index, 1),
                "vm-" + index,
                "127.0.0.1:" + (9_000 + index),
                "127.0.0.1:" + (8_000 + index),
                dataCentre,
                index + 1,
                6);
    }
}
