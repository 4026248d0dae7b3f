package org.bergamothoist.gateway.state;

import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalInt;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedMirror;
import org.bergamothoist.core.feed.FeedRecord;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.fleet.TargetRegistry;
import org.bergamothoist.core.fleet.TargetState;
import org.bergamothoist.core.route.RouteConfiguration;
import org.bergamothoist.gateway.client.ConnectionPool;

/** Brings a daemon's beliefs up to date with the store's records. Confined to the event loop. */
public final class BeliefUpdater implements FeedMirror.FeedListener {

    private final Beliefs beliefs;
    private final RecordDecoder decoder;
    private final ConnectionPool targetConnections;
    private final InstantSource clock;
    private final DecisionLog log;

    /** Creates an updater. */
    public BeliefUpdater(
            Beliefs beliefs,
            RecordDecoder decoder,
            ConnectionPool targetConnections,
            InstantSource clock,
            DecisionLog log) {
        this.beliefs = beliefs;
        this.decoder = decoder;
        this.targetConnections = targetConnections;
        this.clock = clock;
        this.log = log;
    }

    @Override
    public void onRecord(Feed feed, FeedRecord entry) {
        switch (feed) {
            case OPERATOR -> onOperatorRecord(entry);
            case TARGETS -> onTargetRecord(entry);
            case DAEMONS ->
                    entry.value()
                            .flatMap(decoder::daemonAddress)
                            .ifPresent(beliefs.daemons()::addCandidate);
            default -> throw new IllegalArgumentException("unknown feed " + feed);
        }
    }

    private void onOperatorRecord(FeedRecord entry) {
        if (entry.value().isEmpty()) {
            return;
        }
        byte[] value = entry.value().get();
        if (decoder.isConfiguration(entry.key())) {
            Optional<RouteConfiguration> configuration = decoder.configuration(value);
            configuration.ifPresentOrElse(this::accept, () -> ignore(Feed.OPERATOR, entry));
            return;
        }
        decoder.weights(entry.key(), value)
                .ifPresentOrElse(naming -> name(naming, entry), () -> ignore(Feed.OPERATOR, entry));
    }

    private void accept(RouteConfiguration configuration) {
        long before = beliefs.configuration().version();
        if (beliefs.configuration().updateIfNewer(configuration)) {
            log.write(
                    DecisionKind.CONFIGURATION_ACCEPTED,
                    "configuration",
                    () -> "before=" + before + " routes=" + configuration.routes().size(),
                    "version " + configuration.version());
        }
    }

    private void name(RecordDecoder.WeightsNaming naming, FeedRecord entry) {
        if (beliefs.namedWeights().add(naming.model(), naming.version())) {
            log.write(
                    DecisionKind.WEIGHTS_NAMED,
                    naming.model(),
                    () -> "offset=" + entry.offset(),
                    "version " + naming.version());
        }
    }

    private void ignore(Feed feed, FeedRecord entry) {
        log.write(
                DecisionKind.RECORD_IGNORED,
                entry.key(),
                () -> "feed=" + feed + " offset=" + entry.offset(),
                "not readable");
    }

    private void onTargetRecord(FeedRecord entry) {
        if (entry.value().isEmpty()) {
            remove(entry.key());
            return;
        }
        decoder.registration(entry.key(), entry.value().get())
                .ifPresentOrElse(this::register, () -> ignore(Feed.TARGETS, entry));
    }

    private void register(RecordDecoder.Registration registration) {
        RegisteredTarget target = registration.target();
        Optional<RegisteredTarget> before = beliefs.targets().find(target.id());
        TargetRegistry.Change change =
                beliefs.targets().register(target, registration.reportNumber());
        if (change == TargetRegistry.Change.NONE) {
            return;
        }
        if (change == TargetRegistry.Change.ADDED) {
            before.ifPresent(old -> forget(old.incarnation(), old.address()));
        }
        TargetState state = beliefs.targetStates().getOrCreate(target.incarnation());
        target.weightVersions()
                .forEach(
                        (model, version) ->
                                learnVersion(state, version, isReported(before, model, version)));
        log.write(
                DecisionKind.TARGET_CHANGED,
                target.id(),
                () -> "address=" + target.address() + " weights=" + target.weightVersions(),
                change.toString());
    }

    private static boolean isReported(
            Optional<RegisteredTarget> before, String model, int version) {
        return before.map(target -> target.weightVersions().get(model))
                .filter(known -> known == version)
                .isPresent();
    }

    /** A version that the target itself reports anew counts even if it is lower than the known. */
    private void learnVersion(TargetState state, int version, boolean reportedBefore) {
        OptionalInt known = state.weightVersion();
        if (reportedBefore) {
            state.raiseWeightVersion(version);
        } else {
            state.observeWeightVersion(version);
        }
        if (!known.equals(state.weightVersion())) {
            beliefs.forgetCache(state.incarnation());
        }
    }

    private void remove(String id) {
        Optional<RegisteredTarget> before = beliefs.targets().find(id);
        TargetRegistry.Change change = beliefs.targets().remove(id);
        if (change == TargetRegistry.Change.REMOVED) {
            before.ifPresent(target -> forget(target.incarnation(), target.address()));
            beliefs.targetStates().remove(id);
        }
        if (change != TargetRegistry.Change.NONE) {
            log.write(DecisionKind.TARGET_CHANGED, id, () -> "record dropped", change.toString());
        }
    }

    private void forget(TargetIncarnation incarnation, String address) {
        beliefs.forgetCache(incarnation);
        targetConnections.closeIdle(address);
    }

    /** Drops registrations that were not renewed after the store's return. */
    public void dropLapsed() {
        for (String id : beliefs.targets().removeLapsed()) {
            beliefs.targetStates().remove(id);
            log.write(
                    DecisionKind.TARGET_CHANGED,
                    id,
                    () -> "not renewed since the store is back, now=" + clock.instant(),
                    "REMOVED");
        }
    }
}
