package org.bergamothoist.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.IntStream;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.junit.jupiter.api.Test;

class AddressBookTest {

    private final List<RosterMember> serving =
            new ArrayList<>(IntStream.range(0, 12).mapToObj(AddressBookTest::member).toList());
    private final AddressBook book = new AddressBook(() -> serving, "dc-0", Duration.ofSeconds(5));

    /** Guards against far daemons before near ones, and against herds at the first address. */
    @Test
    void nearDaemonsComeFirstAndAnswersAreSpread() {
        Map<String, Integer> firsts = new TreeMap<>();
        for (int call = 0; call < 40; call++) {
            AddressAnswer answer = book.answer(Optional.of("dc-1"), Optional.empty());
            assertThat(answer.addresses()).hasSize(AddressBook.MAXIMUM_ADDRESSES);
            assertThat(answer.addresses().subList(0, 4))
                    .allSatisfy(address -> assertThat(address.dataCentre()).isEqualTo("dc-1"));
            assertThat(answer.lifetime()).isEqualTo(Duration.ofSeconds(5));
            firsts.merge(answer.addresses().get(0).address(), 1, Integer::sum);
        }
        assertThat(firsts).hasSize(4);
        assertThat(firsts.values()).containsOnly(10);
    }

    /** Guards against callers that are sent to a daemon that has left or crashed. */
    @Test
    void daemonThatNoLongerServesIsNotNamed() {
        RosterMember gone = serving.remove(3);
        for (int call = 0; call < 30; call++) {
            assertThat(book.answer(Optional.of("dc-0"), Optional.of("clinic")).addresses())
                    .extracting(AddressAnswer.Address::address)
                    .doesNotContain(gone.callerAddress())
                    .doesNotHaveDuplicates();
        }
    }

    /** Guards against related callers that are spread over all daemons. */
    @Test
    void callersWithTheSameAffinityShareAFewDaemonsInAnyDataCentre() {
        assertThat(affineDaemons("clinic-7")).hasSize(3);
        Set<String> used = new HashSet<>();
        for (int text = 0; text < 100; text++) {
            used.addAll(affineDaemons("clinic-" + text));
        }
        assertThat(used).as("affinities are spread").hasSize(12);
    }

    /** Guards against callers that change daemons with each answer, faster than shares follow. */
    @Test
    void theSameAffinityGetsTheSameDaemonFirst() {
        Set<String> first = new HashSet<>();
        for (int call = 0; call < 6; call++) {
            AddressAnswer answer = book.answer(Optional.empty(), Optional.of("clinic-7"));
            first.add(answer.addresses().get(0).address());
        }
        assertThat(first).hasSize(1);
    }

    /** Guards against moving every caller when one daemon leaves. */
    @Test
    void lossOfADaemonMovesOnlyItsOwnAffinities() {
        Set<String> before = affineDaemons("clinic-7");
        serving.removeIf(member -> !before.contains(member.callerAddress()) && isEven(member));
        assertThat(affineDaemons("clinic-7")).isEqualTo(before);
        String lost = before.iterator().next();
        serving.removeIf(member -> member.callerAddress().equals(lost));
        Set<String> after = affineDaemons("clinic-7");
        before.remove(lost);
        assertThat(after).hasSize(3).containsAll(before);
    }

    /** Guards against failures when no daemon is known. */
    @Test
    void answerIsEmptyIfNoDaemonServes() {
        serving.clear();
        assertThat(book.answer(Optional.empty(), Optional.of("clinic")).addresses()).isEmpty();
    }

    private Set<String> affineDaemons(String affinity) {
        Set<String> daemons = new HashSet<>();
        for (int call = 0; call < 6; call++) {
            Optional<String> dataCentre = Optional.of("dc-" + call % 3);
            book.answer(dataCentre, Optional.of(affinity)).addresses().stream()
                    .limit(3)
                    .forEach(address -> daemons.add(address.address()));
        }
        return daemons;
    }

    private static boolean isEven(RosterMember member) {
        return member.joinOffset() % 2 == 0;
    }

    private static RosterMember member(int number) {
        return new RosterMember(
                new DaemonId("entry-" + number, 1),
                "vm-" + number,
                "10.0.0.1:" + number,
                "10.0.0.2:" + number,
                "dc-" + number % 3,
                number + 1L,
                1);
    }
}
