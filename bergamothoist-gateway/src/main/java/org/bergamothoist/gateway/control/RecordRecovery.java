package org.bergamothoist.gateway.control;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.DoubleSupplier;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.gossip.DaemonDirectory;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.route.ConfigurationHolder;
import org.bergamothoist.core.time.Jitter;
import org.bergamothoist.core.time.Scheduler;

/**
 * Gets records from other daemons that the platform's store has lost by coming back from an older
 * copy: at the start, after a fallback, and when another daemon has a newer configuration. Confined
 * to the event loop.
 */
public final class RecordRecovery {

    /**
     * Maximum number of daemons whose records one recovery uses. One daemon may have started lately
     * and know no more than the store.
     */
    static final int MAXIMUM_ANSWERS = 4;

    /** Maximum number of requests of one recovery; some addresses are of daemons that are gone. */
    static final int MAXIMUM_REQUESTS = 3 * MAXIMUM_ANSWERS;

    /**
     * Time over which the daemons spread their requests after a fallback, which all of them see at
     * nearly the same time: half of a request's timeout, so that no answer waits for all others.
     */
    private static final Duration FALLBACK_JITTER = RecordRelay.REQUEST_TIMEOUT.dividedBy(2);

    private final RecordRelay relay;
    private final DaemonDirectory daemons;
    private final ConfigurationHolder configuration;
    private final String selfPeerAddress;
    private final Duration longestRead;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final DoubleSupplier random;
    private final MetricRegistry metrics;
    private final DecisionLog log;
    private final Map<String, Instant> newerConfigurationSince = new HashMap<>();
    private boolean started;
    private boolean startCompleted;

    /**
     * Creates a recovery that sends no requests yet.
     *
     * @param selfPeerAddress this daemon's own address for other daemons
     * @param longestRead time in which a newer configuration usually arrives without a request
     * @param random returns numbers from 0 to 1
     */
    public RecordRecovery(
            RecordRelay relay,
            DaemonDirectory daemons,
            ConfigurationHolder configuration,
            String selfPeerAddress,
            Duration longestRead,
            Scheduler scheduler,
            InstantSource clock,
            DoubleSupplier random,
            MetricRegistry metrics,
            DecisionLog log) {
        this.relay = relay;
        this.daemons = daemons;
        this.configuration = configuration;
        this.selfPeerAddress = selfPeerAddress;
        this.longestRead = longestRead;
        this.scheduler = scheduler;
        this.clock = clock;
        this.random = random;
        this.metrics = metrics;
        this.log = log;
    }

    /** Asks other daemons at the start of this one; has no effect when called again. */
    public void recoverAtStart() {
        if (started) {
            return;
        }
        started = true;
        Round round = new Round("start", addresses(), () -> startCompleted = true);
        // A failure here must not end the reads that lead to it.
        scheduler.execute(round::begin);
    }

    /** Returns whether the daemons asked at the start have answered, or were waited for in vain. */
    public boolean isStartCompleted() {
        return startCompleted;
    }

    /** Asks other daemons after the store has come back from an older copy. */
    public void recoverAfterFallback() {
        scheduler.schedule(
                Jitter.delay(Duration.ZERO, FALLBACK_JITTER, random),
                () -> new Round("fallback", aliveAddresses(), () -> {}).begin());
    }

    /** Asks a daemon whose configuration has been newer than this one's for some time. */
    public void onReport(DaemonReport report) {
        String daemon = report.daemon().name();
        if (report.configurationVersion() <= configuration.version()) {
            newerConfigurationSince.remove(daemon);
            return;
        }
        Instant now = clock.instant();
        Instant since = newerConfigurationSince.computeIfAbsent(daemon, name -> now);
        if (now.isAfter(since.plus(longestRead))) {
            // Each daemon has to stay ahead for as long again before the next request.
            newerConfigurationSince.clear();
            relay.requestOperators(daemon, report.peerAddress());
        }
    }

    private Map<String, String> aliveAddresses() {
        Map<String, String> namesByAddress = new LinkedHashMap<>();
        shuffled(daemons.aliveReports())
                .forEach(
                        report -> namesByAddress.put(report.peerAddress(), report.daemon().name()));
        return namesByAddress;
    }

    /** Returns the addresses of all daemons, those first that are known to be alive. */
    private Map<String, String> addresses() {
        Map<String, String> namesByAddress = aliveAddresses();
        shuffled(daemons.reportReceivers())
                .forEach(address -> namesByAddress.putIfAbsent(address, address));
        namesByAddress.remove(selfPeerAddress);
        return namesByAddress;
    }

    private <T> List<T> shuffled(Collection<T> elements) {
        List<T> rest = new ArrayList<>(elements);
        List<T> shuffled = new ArrayList<>();
        while (!rest.isEmpty()) {
            shuffled.add(rest.remove((int) (random.getAsDouble() * rest.size()) % rest.size()));
        }
        return shuffled;
    }

    /**
     * Asks several daemons at the same time, and another one for each that fails or has no records.
     * Ends after the timeout of a request at the latest; later answers are still applied.
     */
    private final class Round {

        private final String reason;
        private final Deque<Map.Entry<String, String>> remaining;
        private final Runnable onEnd;
        private int requests;
        private int answers;
        private int pending;
        private boolean ended;

        private Round(String reason, Map<String, String> namesByAddress, Runnable onEnd) {
            this.reason = reason;
            this.remaining = new ArrayDeque<>(namesByAddress.entrySet());
            this.onEnd = onEnd;
        }

        private void begin() {
            metrics.counter("record-recoveries").inc();
            scheduler.schedule(RecordRelay.REQUEST_TIMEOUT, () -> end("time is over"));
            proceed();
        }

        private void proceed() {
            while (!ended
                    && answers + pending < MAXIMUM_ANSWERS
                    && requests < MAXIMUM_REQUESTS
                    && !remaining.isEmpty()) {
                Map.Entry<String, String> source = remaining.poll();
                requests++;
                pending++;
                relay.requestAll(source.getValue(), source.getKey()).whenComplete(this::onAnswer);
            }
            if (pending == 0) {
                end("asked");
            }
        }

        private void onAnswer(Boolean hasRecords, Throwable failure) {
            pending--;
            if (failure == null && hasRecords) {
                answers++;
            }
            proceed();
        }

        private void end(String outcome) {
            if (ended) {
                return;
            }
            ended = true;
            log.write(
                    DecisionKind.RECORDS_RECOVERED,
                    reason,
                    () ->
                            "requests="
                                    + requests
                                    + " with-records="
                                    + answers
                                    + " pending="
                                    + pending
                                    + " configuration="
                                    + configuration.version(),
                    outcome);
            onEnd.run();
        }
    }
}
