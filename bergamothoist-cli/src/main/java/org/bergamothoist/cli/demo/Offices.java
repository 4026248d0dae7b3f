package org.bergamothoist.cli.demo;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationLimits;
import org.bergamothoist.core.sheet.OrganisationState;
import org.bergamothoist.core.sheet.SheetDifference;
import org.bergamothoist.core.sheet.SheetStatus;
import org.bergamothoist.core.sheet.SheetStatus.Reach;
import org.bergamothoist.daemon.DaemonInstance;
import org.bergamothoist.daemon.settings.OperatorKey;

/** The operators of both offices. */
final class Offices {

    private static final Duration PATIENCE = Duration.ofSeconds(20);
    private static final long POLL_MILLISECONDS = 50;

    private final ExampleDeployment example;
    private final InstantSource clock;

    Offices(ExampleDeployment example, InstantSource clock) {
        this.example = example;
        this.clock = clock;
    }

    /** What came of two sheets that were made from the same version. */
    record Race(SheetStatus first, SheetStatus second, String difference) {}

    /** Submits the whole sheet at a daemon and returns the time until it was in force. */
    Duration submitWholeSheet(DaemonInstance daemon) throws Exception {
        Instant begin = clock.instant();
        SheetStatus status = submit(daemon, operator(0), example.sheet());
        while (status.reach() == Reach.RECORDED) {
            if (Duration.between(begin, clock.instant()).compareTo(PATIENCE) > 0) {
                throw new IllegalStateException("sheet lags on daemons " + status.lagging());
            }
            Thread.sleep(POLL_MILLISECONDS);
            status = result(daemon.router().sheetStatus(status.verdict().digest())).orElseThrow();
        }
        if (status.reach() != Reach.IN_FORCE) {
            throw new IllegalStateException("sheet is refused: " + status.verdict().conflicts());
        }
        return Duration.between(begin, clock.instant());
    }

    /**
     * Lets both offices change the same organisation from the same version, one after the other.
     */
    Race race(DaemonInstance firstDaemon, DaemonInstance secondDaemon) throws Exception {
        OrganisationState before = result(firstDaemon.router().organisations()).get(0);
        SheetStatus first =
                submit(firstDaemon, operator(0), List.of(withMoreStreams(before, 10, 0)));
        OrganisationEntry late = withMoreStreams(before, 20, 1);
        SheetStatus second = submit(secondDaemon, operator(1), List.of(late));
        Map<OrganisationId, OrganisationState> current = new TreeMap<>();
        result(secondDaemon.router().organisations())
                .forEach(state -> current.put(state.entry().organisation(), state));
        String difference =
                SheetDifference.between(
                                organisation -> Optional.ofNullable(current.get(organisation)),
                                List.of(late))
                        .text();
        return new Race(first, second, difference);
    }

    private OperatorKey operator(int index) {
        return example.operators().get(index);
    }

    private static SheetStatus submit(
            DaemonInstance daemon, OperatorKey operator, List<OrganisationEntry> entries)
            throws Exception {
        return result(daemon.router().submitSheet(operator.office(), operator.name(), entries));
    }

    private static OrganisationEntry withMoreStreams(
            OrganisationState state, int streams, int weight) {
        OrganisationEntry entry = state.entry();
        OrganisationLimits limits = entry.limits();
        return new OrganisationEntry(
                entry.organisation(),
                state.version(),
                entry.keyDigest(),
                entry.models(),
                entry.services(),
                new OrganisationLimits(
                        limits.requestsPerSecond(),
                        limits.concurrentStreams() + streams,
                        limits.weight() + weight));
    }

    private static <T> T result(CompletionStage<T> stage)
            throws InterruptedException, ExecutionException, TimeoutException {
        return stage.toCompletableFuture().get(PATIENCE.toSeconds(), TimeUnit.SECONDS);
    }
}
