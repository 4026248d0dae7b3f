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
    private static final Duration POLL = Duration.ofSeconds(2);

    private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();
    private final BoundedTimeline timeline =
            new BoundedTimeline(new DaemonId("entry-1", 1), scheduler);
    private final List<TargetState> changes = new ArrayList<>();
    private List<VirtualMachine> machines = List.of(live(FIRST, 1), live(SECOND, 2));
    private boolean listDown;
    private int reads;
    private final TargetDirectory directory =
            new TargetDirectory(
                    scheduler,
                    scheduler,
                    new SplittableRandom(4501),
                    () -> {
                        reads++;
                        return listDown
                                ? CompletableFuture.failedFuture(new PlatformException("down"))
                                : CompletableFuture.completedFuture(machines);
                    },
                    new CountingInvariantMonitor(new MetricRegistry(), timeline, true),
                    timeline);

    TargetDirectoryTest() {
        directory.onChange(
                (target, state) -> {
                    if (target.id().equals(FIRST)) {
                        changes.add(state);
                    }
                });
        directory.start();
        scheduler.advance(POLL);
    }

    private enum Source {
        LIST,
        REPORT,
        PEER
    }

    /** Guards against new work for a leaving target, whichever source tells first. */
    @ParameterizedTest
    @EnumSource(Source.class)
    void leavingMarkOfAnySourceEndsNewWorkAndSticks(Source source) {
        markLeaving(source);
        scheduler.advance(POLL);
        assertThat(accepting()).containsExactly(SECOND);
        directory.observeReport(FIRST, report(false));
        directory.observeAnswer(FIRST);
        machines = List.of(live(FIRST, 1), live(SECOND, 2));
        scheduler.advance(Duration.ofMinutes(2));
        assertThat(accepting()).containsExactly(SECOND);
        assertThat(changes).containsExactly(TargetState.LIVE, TargetState.LEAVING);
    }

    /** Guards against work for a leaving target while the list lags or is down. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void markOfAPeerCountsWhileTheListLagsOrIsDown(boolean down) {
        listDown = down;
        directory.observePeerLeaving(List.of(FIRST));
        scheduler.advance(Duration.ofSeconds(60));
        assertThat(accepting()).containsExactly(SECOND);
    }

    /**
     * Guards against a mark that is lost because this daemon's list does not name the target yet.
     */
    @Test
    void markOfAPeerIsKeptForATargetThatIsNotListedYet() {
        TargetId third = new TargetId("lamp-3");
        directory.observePeerLeaving(List.of(third));
        machines = List.of(live(FIRST, 1), live(third, 3));
        scheduler.advance(POLL);
        assertThat(accepting()).containsExactly(FIRST);
    }

    /** Guards against a target that stays unused after it was replaced. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void targetReturnsWithANewAddressOrAfterItWasAbsent(boolean newAddress) {
        markLeaving(Source.LIST);
        scheduler.advance(POLL);
        if (!newAddress) {
            machines = List.of(live(SECOND, 2));
            scheduler.advance(POLL);
            assertThat(directory.find(FIRST).orElseThrow().getValue()).isEqualTo(TargetState.GONE);
        }
        machines = List.of(live(FIRST, newAddress ? 9 : 1), live(SECOND, 2));
        scheduler.advance(POLL);
        directory.observePeerLeaving(List.of(FIRST));
        assertThat(accepting()).containsExactlyInAnyOrder(FIRST, SECOND);
    }

    /** Guards against work sent after the bound, which must not go unnoticed. */
    @Test
    void dispatchToATargetKnownToLeaveForLongerThanTheBoundIsAViolation() {
        directory.observePeerLeaving(List.of(FIRST));
        scheduler.advance(TargetDirectory.LEAVING_BOUND);
        directory.beforeDispatch(FIRST);
        scheduler.advance(Duration.ofMillis(1));
        assertThatThrownBy(() -> directory.beforeDispatch(FIRST))
                .isInstanceOf(BergamothoistException.class);
        directory.beforeDispatch(SECOND);
    }

    /** Guards against losing all targets when the list fails or comes back empty. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void targetsStayWhenTheListIsDownOrEmpty(boolean down) {
        listDown = down;
        machines = List.of();
        int before = reads;
        scheduler.advance(Duration.ofSeconds(160));
        assertThat(accepting()).containsExactly(FIRST, SECOND);
        assertThat(reads - before).as("reads at backoff").isBetween(8, 20);
        listDown = false;
        machines = List.of(live(SECOND, 2));
        scheduler.advance(Duration.ofSeconds(16));
        assertThat(accepting()).containsExactly(SECOND);
    }

    /** Guards against dropping an engine that answers, because a lagging list lacks it. */
    @Test
    void absentTargetStaysWhileItAnswers() {
        machines = List.of(live(SECOND, 2));
        directory.observeReport(FIRST, report(false));
        scheduler.advance(POLL);
        assertThat(accepting()).containsExactly(FIRST, SECOND);
        scheduler.advance(Duration.ofSeconds(10));
        assertThat(accepting()).containsExactly(SECOND);
    }

    /** Guards against work for a crashed target, and against all requests trying it at once. */
    @Test
    void suspectTargetIsTriedNowAndThenWithGrowingDelay() {
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
        directory.observeAnswer(FIRST);
        assertThat(directory.find(FIRST).orElseThrow().getValue()).isEqualTo(TargetState.LIVE);
    }

    /** Guards against marks that daemons repeat to each other for ever. */
    @Test
    void peerMarksArePassedOnOnlyWhileNew() {
        directory.observePeerLeaving(List.of(FIRST));
        machines = List.of(live(FIRST, 1), leaving(SECOND, 2));
        scheduler.advance(POLL);
        assertThat(directory.leavingTargets()).containsExactlyInAnyOrder(FIRST, SECOND);
        scheduler.advance(Duration.ofSeconds(20));
        directory.observePeerLeaving(List.of(FIRST));
        assertThat(directory.leavingTargets()).containsExactly(SECOND);
    }

    /** Guards against daemons of the list being taken for targets, and groups being mixed up. */
    @Test
    void onlyTargetsOfTheKindAndGroupAreOffered() {
        machines =
                List.of(
                        live(FIRST, 1),
                        machine("entry-1", VirtualMachine.Role.ENTRY, 7),
                        machine("desk-1", VirtualMachine.Role.PLAIN_SERVICE, 8));
        scheduler.advance(POLL);
        assertThat(directory.accepting(TargetKind.PLAIN_SERVICE, "lamp-models"))
                .extracting(Target::id)
                .containsExactly(new TargetId("desk-1"));
        assertThat(directory.accepting(TargetKind.MODEL_ENGINE, "other")).isEmpty();
        assertThat(directory.virtualMachines()).hasSize(3);
        Map<Target, TargetState> targets = directory.targets();
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
