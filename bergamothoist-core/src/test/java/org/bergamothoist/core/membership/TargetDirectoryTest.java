package org.bergamothoist.core.membership;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Stream;
import org.bergamothoist.core.error.BergamothoistException;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.invariant.CountingInvariantMonitor;
import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.PlatformException;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.platform.TargetKind;
import org.bergamothoist.core.platform.VirtualMachine;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.bergamothoist.core.timeline.BoundedTimeline;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

class TargetDirectoryTest {

    private static final TargetId FIRST = new TargetId("lamp-1");
    private static final TargetId SECOND = new TargetId("lamp-2");
    private static final Duration POLL_PERIOD = Duration.ofSeconds(2);

    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
    private final BoundedTimeline timeline =
            new BoundedTimeline(new DaemonId("entry-1", 1), scheduler);
    private final List<TargetAvailability> changes = new ArrayList<>();
    private List<VirtualMachine> machines = List.of(live(FIRST, 1), live(SECOND, 2));
    private boolean listUnavailable;
    private int reads;
    private final TargetDirectory directory =
            new TargetDirectory(
                    scheduler,
                    scheduler,
                    new SplittableRandom(4501),
                    () -> {
                        reads++;
                        return listUnavailable
                                ? CompletableFuture.failedFuture(
                                        new PlatformException("list is unavailable"))
                                : CompletableFuture.completedFuture(machines);
                    },
                    new CountingInvariantMonitor(new MetricRegistry(), timeline, true),
                    timeline);

    TargetDirectoryTest() {
        directory.onChange(
                (target, availability) -> {
                    if (target.id().equals(FIRST)) {
                        changes.add(availability);
                    }
                });
        directory.start();
        scheduler.advance(POLL_PERIOD);
    }

    private enum Source {
        LIST,
        REPORT,
        PEER
    }

    /** Guards against new work for a leaving target, whichever source reports it first. */
    @ParameterizedTest
    @EnumSource(Source.class)
    void leavingMarkOfAnySourceEndsNewWorkPermanently(Source source) {
        markLeaving(source);
        scheduler.advance(POLL_PERIOD);
        assertThat(accepting()).containsExactly(SECOND);
        directory.observeReport(FIRST, report(false));
        directory.observeResponse(FIRST);
        machines = List.of(live(FIRST, 1), live(SECOND, 2));
        scheduler.advance(Duration.ofMinutes(2));
        assertThat(accepting()).containsExactly(SECOND);
        assertThat(changes).containsExactly(TargetAvailability.LIVE, TargetAvailability.LEAVING);
    }

    /** Guards against work for a leaving target while the list is outdated or unavailable. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void peerMarkAppliesWhileTheListIsOutdatedOrUnavailable(boolean unavailable) {
        listUnavailable = unavailable;
        directory.observePeerLeaving(List.of(FIRST));
        scheduler.advance(Duration.ofSeconds(60));
        assertThat(accepting()).containsExactly(SECOND);
    }

    /**
     * Guards against losing a leaving mark because this daemon's list does not contain the target
     * yet.
     */
    @Test
    void peerMarkIsKeptForATargetThatIsNotListedYet() {
        TargetId third = new TargetId("lamp-3");
        directory.observePeerLeaving(List.of(third));
        machines = List.of(live(FIRST, 1), live(third, 3));
        scheduler.advance(POLL_PERIOD);
        assertThat(accepting()).containsExactly(FIRST);
    }

    /** Guards against a target that stays out of service after it was replaced. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void targetReturnsWithANewAddressOrAfterAnAbsence(boolean newAddress) {
        markLeaving(Source.LIST);
        scheduler.advance(POLL_PERIOD);
        if (!newAddress) {
            machines = List.of(live(SECOND, 2));
            scheduler.advance(POLL_PERIOD);
            assertThat(directory.find(FIRST).orElseThrow().getValue())
                    .isEqualTo(TargetAvailability.GONE);
        }
        machines = List.of(live(FIRST, newAddress ? 9 : 1), live(SECOND, 2));
        scheduler.advance(POLL_PERIOD);
        directory.observePeerLeaving(List.of(FIRST));
        assertThat(accepting()).containsExactlyInAnyOrder(FIRST, SECOND);
    }

    /**
     * Guards against an undetected dispatch to a target that has been leaving for longer than the
     * bound.
     */
    @Test
    void dispatchAfterTheLeavingBoundIsAViolation() {
        directory.observePeerLeaving(List.of(FIRST));
        scheduler.advance(TargetDirectory.LEAVING_BOUND);
        directory.beforeDispatch(FIRST);
        scheduler.advance(Duration.ofMillis(1));
        assertThatThrownBy(() -> directory.beforeDispatch(FIRST))
                .isInstanceOf(BergamothoistException.class);
        directory.beforeDispatch(SECOND);
    }

    /** Guards against losing all targets when the list cannot be read or is empty. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void targetsStayWhenTheListIsUnavailableOrEmpty(boolean unavailable) {
        listUnavailable = unavailable;
        machines = List.of();
        int readsBefore = reads;
        scheduler.advance(Duration.ofSeconds(160));
        assertThat(accepting()).containsExactly(FIRST, SECOND);
        assertThat(reads - readsBefore).as("reads at backoff").isBetween(8, 20);
        listUnavailable = false;
        machines = List.of(live(SECOND, 2));
        scheduler.advance(Duration.ofSeconds(16));
        assertThat(accepting()).containsExactly(SECOND);
    }

    /**
     * Guards against dropping an engine that responds, because an outdated list does not contain
     * it.
     */
    @Test
    void absentTargetStaysWhileItResponds() {
        machines = List.of(live(SECOND, 2));
        directory.observeReport(FIRST, report(false));
        scheduler.advance(POLL_PERIOD);
        assertThat(accepting()).containsExactly(FIRST, SECOND);
        scheduler.advance(Duration.ofSeconds(10));
        assertThat(accepting()).containsExactly(SECOND);
    }

    /** Guards against work for a crashed target, and against many requests retrying it at once. */
    @Test
    void suspectTargetIsRetriedWithGrowingDelay() {
        List<Long> delays = new ArrayList<>();
        for (int failure = 0; failure < 8; failure++) {
            directory.beforeDispatch(FIRST);
            assertThat(failure == 0 || !accepting().contains(FIRST)).isTrue();
            directory.observeFailure(FIRST, TargetFailure.Kind.NOT_SENT);
            long waited = 0;
            while (!accepting().contains(FIRST)) {
                scheduler.advance(Duration.ofMillis(50));
                waited += 50;
            }
            delays.add(waited);
        }
        assertThat(delays.get(0)).isBetween(250L, 550L);
        assertThat(delays.get(7)).isBetween(7_500L, 15_050L);
        directory.observeResponse(FIRST);
        assertThat(directory.find(FIRST).orElseThrow().getValue())
                .isEqualTo(TargetAvailability.LIVE);
    }

    /** Guards against leaving marks that circulate among daemons forever. */
    @Test
    void peerMarksAreAnnouncedOnlyWhileNew() {
        directory.observePeerLeaving(List.of(FIRST));
        machines = List.of(live(FIRST, 1), leaving(SECOND, 2));
        scheduler.advance(POLL_PERIOD);
        assertThat(directory.leavingTargets()).containsExactlyInAnyOrder(FIRST, SECOND);
        scheduler.advance(Duration.ofSeconds(20));
        directory.observePeerLeaving(List.of(FIRST));
        assertThat(directory.leavingTargets()).containsExactly(SECOND);
    }

    /** Guards against daemons in the list being taken for targets, and against mixing up groups. */
    @Test
    void onlyTargetsOfTheKindAndGroupAreReturned() {
        machines =
                List.of(
                        live(FIRST, 1),
                        machine("entry-1", VirtualMachine.Role.ENTRY, 7),
                        machine("desk-1", VirtualMachine.Role.PLAIN_SERVICE, 8));
        scheduler.advance(POLL_PERIOD);
        assertThat(directory.accepting(TargetKind.PLAIN_SERVICE, "lamp-models"))
                .extracting(Target::id)
                .containsExactly(new TargetId("desk-1"));
        assertThat(directory.accepting(TargetKind.MODEL_ENGINE, "other")).isEmpty();
        assertThat(directory.virtualMachines()).hasSize(3);
        Map<Target, TargetAvailability> targets = directory.targets();
        assertThat(targets.keySet()).extracting(Target::id).doesNotContain(new TargetId("entry-1"));
    }

    private void markLeaving(Source source) {
        switch (source) {
            case LIST -> machines = List.of(leaving(FIRST, 1), live(SECOND, 2));
            case REPORT -> directory.observeReport(FIRST, report(true));
            case PEER -> directory.observePeerLeaving(List.of(FIRST));
            default -> throw new AssertionError(source);
        }
    }

    private List<TargetId> accepting() {
        Stream<Target> targets = directory.accepting(TargetKind.MODEL_ENGINE).stream();
        return targets.map(Target::id).toList();
    }

    private EngineReport report(boolean leaving) {
        return new EngineReport(
                new EngineIncarnation("run-1"),
                List.of(),
                0,
                0,
                scheduler.instant(),
                0,
                leaving,
                true);
    }

    private static VirtualMachine live(TargetId target, int port) {
        return machine(target.value(), VirtualMachine.Role.MODEL_ENGINE, port);
    }

    private static VirtualMachine leaving(TargetId target, int port) {
        return new VirtualMachine(
                target.value(),
                VirtualMachine.Role.MODEL_ENGINE,
                "lamp-models",
                "127.0.0.1",
                port,
                "muscat-a",
                VirtualMachine.State.LEAVING);
    }

    private static VirtualMachine machine(String name, VirtualMachine.Role role, int port) {
        return new VirtualMachine(
                name,
                role,
                "lamp-models",
                "127.0.0.1",
                port,
                "muscat-a",
                VirtualMachine.State.LIVE);
    }
}
