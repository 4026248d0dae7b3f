package org.bergamothoist.core.fleet;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Instant;
import java.util.Map;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class TargetRegistryTest {

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final TargetRegistry registry = new TargetRegistry(time);

    private static RegisteredTarget target(String id, long start, boolean leaving) {
        return new RegisteredTarget(
                new TargetIncarnation(id, Instant.ofEpochMilli(start)),
                "service",
                "10.0.0.1:80",
                "a",
                6,
                leaving,
                Map.of());
    }

    @ParameterizedTest
    @CsvSource({
        "10,5,10,4,NONE",
        "10,5,10,6,LEAVING",
        "10,5,9,9,NONE",
        "10,5,11,1,ADDED",
    })
    void newestRegistrationOfTheNewestIncarnationApplies(
            long start, long report, long laterStart, long laterReport, String change) {
        registry.register(target("t", start, false), report);
        assertThat(registry.register(target("t", laterStart, true), laterReport))
                .isEqualTo(TargetRegistry.Change.valueOf(change));
    }

    @Test
    void leavingTargetAcceptsNoNewRequests() {
        registry.register(target("t", 1, false), 1);
        registry.register(target("t", 1, true), 2);
        assertThat(registry.accepting("service")).isEmpty();
        assertThat(registry.all()).hasSize(1);
    }

    @Test
    void endedRegistrationIsRemovedAtOnce() {
        registry.register(target("t", 1, false), 1);
        assertThat(registry.remove("t")).isEqualTo(TargetRegistry.Change.REMOVED);
        assertThat(registry.accepting("service")).isEmpty();
    }

    @Test
    void registrationThatLapsedDuringAStoreOutageStaysForTheGracePeriod() {
        registry.register(target("t", 1, false), 1);
        registry.onStoreUnavailable();
        time.advanceMillis(5_000);
        registry.onStoreAvailable();
        assertThat(registry.remove("t")).isEqualTo(TargetRegistry.Change.LAPSED);
        time.advanceMillis(1_900);
        assertThat(registry.removeLapsed()).isEmpty();
        assertThat(registry.accepting("service")).hasSize(1);
        time.advanceMillis(200);
        assertThat(registry.removeLapsed()).extracting(RegisteredTarget::id).containsExactly("t");
        assertThat(registry.accepting("service")).isEmpty();
    }

    /**
     * Guards against requests to a target that left while this daemon alone was cut off from the
     * store: other daemons read its removal then, so that live targets could renew.
     */
    @ParameterizedTest
    @CsvSource({"100, 100", "100, 1500", "3000, 0", "8000, 500"})
    void removalReadByAnotherDaemonDoesNotWaitForTheOwnAccess(long untilRemoval, long untilAccess) {
        registry.register(target("t", 1, false), 1);
        registry.onStoreUnavailable();
        time.advanceMillis(untilRemoval);
        assertThat(registry.remove("t")).isEqualTo(TargetRegistry.Change.LAPSED);
        time.advanceMillis(untilAccess);
        registry.onStoreAvailable();
        time.advanceMillis(1_900 - untilAccess);
        assertThat(registry.removeLapsed()).isEmpty();
        time.advanceMillis(200);
        assertThat(registry.removeLapsed()).extracting(RegisteredTarget::id).containsExactly("t");
    }

    /** The same for a target that left long before the daemon reaches the store again. */
    @Test
    void removalReadByAnotherDaemonTakesEffectDuringTheCut() {
        registry.register(target("t", 1, false), 1);
        registry.onStoreUnavailable();
        registry.remove("t");
        time.advanceMillis(2_100);
        assertThat(registry.removeLapsed()).extracting(RegisteredTarget::id).containsExactly("t");
        assertThat(registry.accepting("service")).isEmpty();
    }

    @Test
    void renewedRegistrationIsNoLongerLapsed() {
        registry.register(target("t", 1, false), 1);
        registry.onStoreUnavailable();
        registry.remove("t");
        registry.onStoreAvailable();
        registry.register(target("t", 1, false), 2);
        time.advanceMillis(3_000);
        assertThat(registry.removeLapsed()).isEmpty();
        assertThat(registry.accepting("service")).hasSize(1);
    }

    @Test
    void leavingTargetIsRemovedDuringAStoreOutage() {
        registry.register(target("t", 1, true), 1);
        registry.onStoreUnavailable();
        assertThat(registry.remove("t")).isEqualTo(TargetRegistry.Change.REMOVED);
    }

    /**
     * Guards against a target that is removed because the store lost its registration, and one that
     * stays for ever because it does not write it again.
     */
    @ParameterizedTest
    @CsvSource({"0,true", "1900,true", "2100,false"})
    void registrationThatTheCopyLacksStaysForTheGracePeriod(long untilRemoval, boolean stays) {
        registry.register(target("t", 1, false), 7);
        time.advanceMillis(10_000);
        registry.onStoreFallback();
        time.advanceMillis(untilRemoval);
        assertThat(registry.remove("t"))
                .isEqualTo(stays ? TargetRegistry.Change.LAPSED : TargetRegistry.Change.REMOVED);
        assertThat(registry.removeLapsed()).isEmpty();
        assertThat(registry.accepting("service")).hasSize(stays ? 1 : 0);
        time.advanceMillis(2_100);
        assertThat(registry.removeLapsed()).hasSize(stays ? 1 : 0);
        assertThat(registry.accepting("service")).isEmpty();
    }

    /**
     * Guards against a live target that is removed before it can write its registration again,
     * because another daemon had read its end before the store fell back once more.
     */
    @Test
    void gracePeriodBeginsAnewWithEachFallback() {
        registry.register(target("t", 1, false), 7);
        registry.onStoreUnavailable();
        registry.remove("t");
        time.advanceMillis(1_900);
        registry.onStoreFallback();
        registry.onStoreAvailable();
        time.advanceMillis(1_900);
        assertThat(registry.removeLapsed()).isEmpty();
        time.advanceMillis(200);
        assertThat(registry.removeLapsed()).hasSize(1);
    }

    /**
     * Guards against a target that left and is used again because another copy of the store has one
     * of its earlier registrations.
     */
    @ParameterizedTest
    @CsvSource({"9,8,NONE", "10,7,NONE", "10,8,ADDED", "11,0,ADDED"})
    void endedTargetIsOnlyAddedByALaterRegistration(long start, long report, String change) {
        registry.register(target("t", 10, false), 7);
        registry.onStoreFallback();
        registry.remove("t");
        registry.register(target("t", 9, false), 8);
        time.advanceMillis(2_100);
        assertThat(registry.removeLapsed()).hasSize(1);
        assertThat(registry.register(target("t", start, false), report))
                .isEqualTo(TargetRegistry.Change.valueOf(change));
    }

    @Test
    void registrationThatIsWrittenAgainAfterTheFallbackStays() {
        registry.register(target("t", 1, false), 7);
        registry.onStoreFallback();
        registry.remove("t");
        registry.register(target("t", 1, false), 7);
        time.advanceMillis(3_000);
        assertThat(registry.removeLapsed()).isEmpty();
        assertThat(registry.accepting("service")).hasSize(1);
    }

    /** Guards against a target that had left and is back because the copy has its registration. */
    @ParameterizedTest
    @CsvSource({
        "t,10,7,true",
        "t,10,6,true",
        "t,9,8,true",
        "t,10,8,false",
        "t,11,1,false",
        "u,10,1,false"
    })
    void endedRegistrationIsRecognised(String id, long start, long report, boolean ended) {
        registry.register(target("t", 10, false), 7);
        assertThat(registry.hasEnded(target(id, start, false), report)).isFalse();
        registry.remove("t");
        assertThat(registry.hasEnded(target(id, start, false), report)).isEqualTo(ended);
    }

    @Test
    void lapsedRegistrationHasEndedOnlyAfterTheGracePeriod() {
        registry.register(target("t", 10, false), 7);
        registry.onStoreFallback();
        registry.remove("t");
        assertThat(registry.hasEnded(target("t", 10, false), 7)).isFalse();
        time.advanceMillis(2_100);
        registry.removeLapsed();
        assertThat(registry.hasEnded(target("t", 10, false), 7)).isTrue();
    }
}
