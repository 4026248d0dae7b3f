package org.bergamothoist.gateway.control;

import com.codahale.metrics.MetricRegistry;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.GossipQuarantine;
import org.bergamothoist.core.quarantine.LostRun;
import org.bergamothoist.core.quarantine.PartProbes;
import org.bergamothoist.core.quarantine.SuspectContents;
import org.bergamothoist.core.quarantine.TargetLoss;
import org.bergamothoist.core.quarantine.TargetLossDetector;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.PlatformAdapter;
import org.bergamothoist.gateway.client.ConnectionLivenessChecker;
import org.bergamothoist.gateway.client.ConnectionPool;
import org.bergamothoist.gateway.state.ClusterView;
import org.bergamothoist.gateway.state.ClusterViewUpdater;
import org.bergamothoist.gateway.state.QuarantinedContent;
import org.bergamothoist.gateway.wire.WireDialect;

/**
 * Connects the detection of lost targets, the quarantine of contents that crash them and its
 * records in the store. Confined to the event loop.
 */
public final class ContentQuarantine implements ClusterViewUpdater.Listener {

    private final ClusterView clusterView;
    private final MetricRegistry metrics;
    private final Runnable onChange;
    private final GossipQuarantine quarantine;
    private final ConnectionLivenessChecker liveness;
    private final TargetLossDetector losses;
    private final PartProbes probes;
    private final QuarantineRecords records;

    /**
     * Creates a quarantine without contents.
     *
     * @param cleaning whether this daemon deletes records whose refusal has ended
     * @param first whether this daemon sends single requests that may clear refused parts, and
     *     restores records that the store has lost; usually true for one of the daemons
     * @param onChange called when other daemons should learn of a change soon
     */
    public ContentQuarantine(
            ClusterView clusterView,
            ConnectionPool targetConnections,
            WireDialect dialect,
            PlatformAdapter.Store store,
            BooleanSupplier cleaning,
            BooleanSupplier first,
            Runnable onChange,
            Scheduler scheduler,
            InstantSource clock,
            MetricRegistry metrics,
            DecisionLog log) {
        this.clusterView = clusterView;
        this.metrics = metrics;
        this.onChange = onChange;
        this.quarantine = new GossipQuarantine(clock, new ChangeListener(), log);
        this.liveness =
                new ConnectionLivenessChecker(
                        targetConnections, dialect, this::isRegistered, scheduler, metrics, log);
        this.losses =
                new TargetLossDetector(
                        (address, receiver) -> probe(targetConnections, address, receiver),
                        liveness,
                        this::isRegistered,
                        this::onTargetLost,
                        scheduler,
                        clock,
                        log);
        this.probes = new PartProbes(quarantine, first, clock, log);
        this.records =
                new QuarantineRecords(store, quarantine, cleaning, first, scheduler, clock, log);
        metrics.gauge("quarantined-contents", () -> quarantine::quarantinedCount);
    }

    public GossipQuarantine contents() {
        return quarantine;
    }

    public TargetLossDetector losses() {
        return losses;
    }

    public ConnectionLivenessChecker liveness() {
        return liveness;
    }

    public PartProbes probes() {
        return probes;
    }

    public QuarantineRecords records() {
        return records;
    }

    /** Forgets what is too old to count. */
    public void removeExpired() {
        losses.removeExpired();
        liveness.removeExpired();
        quarantine.removeExpired();
    }

    private static void probe(
            ConnectionPool connections,
            String address,
            Consumer<TargetLossDetector.ProbeResult> receiver) {
        connections.probe(address, failure -> receiver.accept(result(failure)));
    }

    private static TargetLossDetector.ProbeResult result(Throwable failure) {
        if (failure == null) {
            return TargetLossDetector.ProbeResult.ACCEPTED;
        }
        return ConnectionPool.isRefused(failure)
                ? TargetLossDetector.ProbeResult.REFUSED
                : TargetLossDetector.ProbeResult.NO_ANSWER;
    }

    private boolean isRegistered(TargetIncarnation incarnation) {
        return clusterView
                .targets()
                .find(incarnation.id())
                .filter(target -> target.incarnation().equals(incarnation))
                .isPresent();
    }

    private void onTargetLost(TargetLoss loss, Map<Fingerprint, LostRun> running) {
        metrics.counter("suspected-contents").inc(running.size());
        quarantine.onTargetLost(loss, running);
    }

    @Override
    public void onTargetStarted(RegisteredTarget target) {
        losses.onTargetStarted(target);
    }

    @Override
    public void onTargetLeaving(RegisteredTarget target) {
        losses.onTargetLeaving(target.incarnation());
    }

    @Override
    public void onQuarantined(QuarantinedContent content) {
        records.onRecord(content);
    }

    @Override
    public void onReleased(Fingerprint content) {
        records.onDeleted(content);
    }

    private final class ChangeListener implements GossipQuarantine.Listener {

        @Override
        public void onChange() {
            onChange.run();
        }

        @Override
        public void onQuarantined(
                Fingerprint content, List<SuspectContents.Loss> lost, Optional<String> origin) {
            metrics.counter("contents-quarantined").inc();
            origin.ifPresent(text -> records.publish(content, text));
        }

        @Override
        public void onServedAgain(Fingerprint content) {
            records.onServedAgain(content);
        }
    }
}
