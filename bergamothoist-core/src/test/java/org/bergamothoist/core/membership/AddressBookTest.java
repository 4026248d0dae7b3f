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

    /**
     * Guards against remote daemons before local ones, and against all callers connecting to the
     * same daemon.
     */
    @Test
    void localDaemonsComeFirstInRotation() {
        Map<String, Integer> callsByFirstAddress = new TreeMap<>();
        for (int call = 0; call < 40; call++) {
            DaemonAddresses addresses = book.addressesFor(Optional.of("dc-1"), Optional.empty());
            assertThat(addresses.addresses()).hasSize(AddressBook.MAXIMUM_ADDRESSES);
            assertThat(addresses.addresses().subList(0, 4))
                    .allSatisfy(address -> assertThat(address.dataCentre()).isEqualTo("dc-1"));
            assertThat(addresses.lifetime()).isEqualTo(Duration.ofSeconds(5));
            callsByFirstAddress.merge(addresses.addresses().get(0).address(), 1, Integer::sum);
        }
        assertThat(callsByFirstAddress).hasSize(4);
        assertThat(callsByFirstAddress.values()).containsOnly(10);
    }

    /** Guards against directing callers to a daemon that has left or crashed. */
    @Test
    void daemonThatNoLongerServesIsNotReturned() {
        RosterMember removed = serving.remove(3);
        for (int call = 0; call < 30; call++) {
            assertThat(book.addressesFor(Optional.of("dc-0"), Optional.of("clinic")).addresses())
                    .extracting(DaemonAddresses.Address::address)
                    .doesNotContain(removed.callerAddress())
                    .doesNotHaveDuplicates();
        }
    }

    /**
     * Guards against spreading related callers over all daemons, which would lose prefix cache
     * hits.
     */
    @Test
    void callersWithTheSameAffinityShareAFewDaemonsInAnyDataCentre() {
        assertThat(affinityDaemons("clinic-7")).hasSize(3);
        Set<String> preferred = new HashSet<>();
        for (int number = 0; number < 100; number++) {
            preferred.addAll(affinityDaemons("clinic-" + number));
        }
        assertThat(preferred).as("affinities are spread").hasSize(12);
    }

    /**
     * Guards against callers that change daemons with each call, faster than the daemons' shares of
     * the rate limit are adjusted.
     */
    @Test
    void sameAffinityGetsTheSameDaemonFirst() {
        Set<String> firstAddresses = new HashSet<>();
        for (int call = 0; call < 6; call++) {
            DaemonAddresses addresses =
                    book.addressesFor(Optional.empty(), Optional.of("clinic-7"));
            firstAddresses.add(addresses.addresses().get(0).address());
        }
        assertThat(firstAddresses).hasSize(1);
    }

    /** Guards against moving all callers when one daemon leaves. */
    @Test
    void lossOfADaemonMovesOnlyItsAffinityKeys() {
        Set<String> before = affinityDaemons("clinic-7");
        serving.removeIf(
                member -> !before.contains(member.callerAddress()) && hasEvenJoinOffset(member));
        assertThat(affinityDaemons("clinic-7")).isEqualTo(before);
        String lost = before.iterator().next();
        serving.removeIf(member -> member.callerAddress().equals(lost));
        Set<String> after = affinityDaemons("clinic-7");
        before.remove(lost);
        assertThat(after).hasSize(3).containsAll(before);
    }

    /** Guards against an exception when no daemon is known. */
    @Test
    void noAddressesIfNoDaemonServes() {
        serving.clear();
        assertThat(book.addressesFor(Optional.empty(), Optional.of("clinic")).addresses())
                .isEmpty();
    }

    private Set<String> affinityDaemons(String affinity) {
        Set<String> daemons = new HashSet<>();
        for (int call = 0; call < 6; call++) {
            Optional<String> dataCentre = Optional.of("dc-" + call % 3);
            book.addressesFor(dataCentre, Optional.of(affinity)).addresses().stream()
                    .limit(3)
                    .forEach(address -> daemons.add(address.address()));
        }
        return daemons;
    }

    private static boolean hasEvenJoinOffset(RosterMember member) {
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
