package org.bergamothoist.gateway.state;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.feed.FeedMirror;
import org.bergamothoist.core.feed.FeedRecord;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetIncarnation;
import org.bergamothoist.core.fleet.TargetRegistry;
import org.bergamothoist.core.fleet.TargetState;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.rollout.DesiredWeightVersions;
import org.bergamothoist.core.route.RouteConfiguration;
import org.bergamothoist.gateway.GatewayException;
import org.bergamothoist.gateway.client.ConnectionPool;

/** Applies the store's records to a daemon's cluster view. Confined to the event loop. */
public final class ClusterViewUpdater implements FeedMirror.FeedListener {

    private final ClusterView clusterView;
    private final RecordDecoder decoder;
    private final ConnectionPool targetConnections;
    private final FeedFreshness operatorFreshness;
    private final InstantSource clock;
    private final Listener listener;
    private final DecisionLog log;

    /** Handles what the records tell of crashes. */
    public interface Listener {

        /** Handles the registration of a process that was not known before. */
        void onTargetStarted(RegisteredTarget target);

        /** Handles a registration that says that the target is about to leave. */
        void onTargetLeaving(RegisteredTarget target);

        /** Handles the record of a content that daemons refuse. */
        void onQuarantined(QuarantinedContent content);

        /** Handles the deletion of such a record. */
        void onReleased(Fingerprint content);
    }

    /**
     * Creates an updater.
     *
     * @param targetConnections pool whose idle connections to restarted and removed targets are
     *     closed
     * @param operatorFreshness bounds the age of operators' records
     */
    public ClusterViewUpdater(
            ClusterView clusterView,
            RecordDecoder decoder,
            ConnectionPool targetConnections,
            FeedFreshness operatorFreshness,
            InstantSource clock,
            Listener listener,
            DecisionLog log) {
        this.clusterView = clusterView;
        this.decoder = decoder;
        this.targetConnections = targetConnections;
        this.operatorFreshness = operatorFreshness;
        this.clock = clock;
        this.listener = listener;
        this.log = log;
    }

    @Override
    public void onRecord(Feed feed, FeedRecord record) {
        try {
            apply(feed, record);
        } catch (RuntimeException exception) {
            // One record that cannot be applied must not keep those after it from being read.
            log.write(
                    DecisionKind.RECORD_IGNORED,
                    record.key(),
                    () -> "feed=" + feed + " position=" + record.position() + " " + exception,
                    "not applied");
        }
    }

    @Override
    public boolean isRenewal(Feed feed, FeedRecord before, FeedRecord record) {
        if (feed != Feed.TARGETS) {
            return false;
        }
        Optional<RegisteredTarget> target = registeredTarget(record);
        return target.isPresent() && target.equals(registeredTarget(before));
    }

    private Optional<RegisteredTarget> registeredTarget(FeedRecord record) {
        return registration(record).map(RecordDecoder.Registration::target);
    }

    private Optional<RecordDecoder.Registration> registration(FeedRecord record) {
        return record.value().flatMap(value -> decoder.registration(record.key(), value));
    }

    @Override
    public boolean isEarlierState(Feed feed, FeedRecord record, FeedRecord other) {
        try {
            return switch (feed) {
                case OPERATOR -> isEarlierOperatorState(record, other);
                case TARGETS -> isEarlierRegistration(record, other);
                case DAEMONS -> false;
            };
        } catch (RuntimeException exception) {
            // One record that cannot be decoded must not keep those after it from being read.
            log.write(
                    DecisionKind.RECORD_IGNORED,
                    record.key(),
                    () -> "feed=" + feed + " position=" + record.position() + " " + exception,
                    "not compared");
            return false;
        }
    }

    /** An unreadable record does not take effect, and so must not replace a readable one. */
    private boolean isEarlierOperatorState(FeedRecord record, FeedRecord other) {
        OptionalLong otherVersion = operatorVersion(other);
        if (otherVersion.isEmpty() || record.value().isEmpty()) {
            return false;
        }
        OptionalLong version = operatorVersion(record);
        return version.isEmpty() || version.getAsLong() < otherVersion.getAsLong();
    }

    /** Returns the version that an operator's record states, or empty if it is not readable. */
    private OptionalLong operatorVersion(FeedRecord record) {
        if (record.value().isEmpty()) {
            return OptionalLong.empty();
        }
        byte[] value = record.value().get();
        try {
            return decoder.isConfigurationKey(record.key())
                    ? decoder.configuration(value).stream()
                            .mapToLong(RouteConfiguration::version)
                            .findFirst()
                    : decoder.desiredWeights(record.key(), value).stream()
                            .mapToLong(RecordDecoder.DesiredWeights::version)
                            .findFirst();
        } catch (GatewayException exception) {
            log.write(
                    DecisionKind.RECORD_IGNORED,
                    record.key(),
                    () -> "position=" + record.position() + " " + exception.getMessage(),
                    "version not readable");
            return OptionalLong.empty();
        }
    }

    private boolean isEarlierRegistration(FeedRecord record, FeedRecord other) {
        Optional<RecordDecoder.Registration> registration = registration(record);
        if (registration.isEmpty()) {
            return false;
        }
        RegisteredTarget target = registration.get().target();
        long reportNumber = registration.get().reportNumber();
        if (other.value().isEmpty()) {
            return clusterView.targets().hasEnded(target, reportNumber);
        }
        return registration(other)
                .filter(
                        later ->
                                TargetRegistry.order(
                                                target,
                                                reportNumber,
                                                later.target(),
                                                later.reportNumber())
                                        < 0)
                .isPresent();
    }

    private void apply(Feed feed, FeedRecord record) {
        switch (feed) {
            case OPERATOR -> onOperatorRecord(record);
            case TARGETS -> onTargetRecord(record);
            case DAEMONS -> onDaemonsRecord(record);
            default -> throw new IllegalArgumentException("no handler for records of feed " + feed);
        }
    }

    private void onDaemonsRecord(FeedRecord record) {
        Optional<Fingerprint> quarantined = decoder.quarantinedContentKey(record.key());
        if (quarantined.isPresent()) {
            onQuarantineRecord(quarantined.get(), record);
            return;
        }
        record.value()
                .flatMap(decoder::daemonAddress)
                .ifPresent(clusterView.daemons()::addCandidate);
    }

    private void onQuarantineRecord(Fingerprint content, FeedRecord record) {
        if (record.value().isEmpty()) {
            listener.onReleased(content);
            return;
        }
        decoder.quarantinedContent(content, record.value().get())
                .ifPresentOrElse(
                        listener::onQuarantined, () -> logUnreadable(Feed.DAEMONS, record));
    }

    private void onOperatorRecord(FeedRecord record) {
        if (record.value().isEmpty()) {
            return;
        }
        byte[] value = record.value().get();
        if (decoder.isConfigurationKey(record.key())) {
            onConfigurationRecord(record, value);
            return;
        }
        decoder.desiredWeights(record.key(), value)
                .ifPresentOrElse(
                        weights -> addDesiredWeights(weights, record),
                        () -> logUnreadable(Feed.OPERATOR, record));
    }

    /** Applies a configuration; a malformed one is logged and the current one stays in force. */
    private void onConfigurationRecord(FeedRecord record, byte[] value) {
        try {
            decoder.configuration(value)
                    .ifPresentOrElse(
                            configuration -> acceptConfiguration(configuration, record),
                            () -> logUnreadable(Feed.OPERATOR, record));
        } catch (GatewayException exception) {
            log.write(
                    DecisionKind.RECORD_IGNORED,
                    record.key(),
                    () -> "position=" + record.position() + " " + exception.getMessage(),
                    "malformed configuration ignored");
        }
    }

    private void acceptConfiguration(RouteConfiguration configuration, FeedRecord record) {
        long before = clusterView.configuration().version();
        if (clusterView.configuration().updateIfNewer(configuration)) {
            log.write(
                    DecisionKind.CONFIGURATION_ACCEPTED,
                    "configuration",
                    () ->
                            "before="
                                    + before
                                    + " position="
                                    + record.position()
                                    + " routes="
                                    + configuration.routes().size(),
                    "version " + configuration.version());
        }
    }

    private void addDesiredWeights(RecordDecoder.DesiredWeights weights, FeedRecord record) {
        DesiredWeightVersions versions = clusterView.desiredWeightVersions();
        if (versions.add(
                weights.model(), weights.version(), operatorFreshness.earliestPublication())) {
            log.write(
                    DecisionKind.WEIGHTS_NAMED,
                    weights.model(),
                    () ->
                            "position="
                                    + record.position()
                                    + versions.outdatedSince(weights.model(), weights.version() - 1)
                                            .map(
                                                    since ->
                                                            " age-at-most="
                                                                    + millisecondsSince(since))
                                            .orElse("")
                                    + operatorFreshness
                                            .completeUntil()
                                            .map(read -> " last-read=" + millisecondsSince(read))
                                            .orElse(" first-read"),
                    "version " + weights.version());
        }
    }

    private long millisecondsSince(Instant instant) {
        return Duration.between(instant, clock.instant()).toMillis();
    }

    private void logUnreadable(Feed feed, FeedRecord record) {
        log.write(
                DecisionKind.RECORD_IGNORED,
                record.key(),
                () -> "feed=" + feed + " position=" + record.position(),
                "not readable");
    }

    private void onTargetRecord(FeedRecord record) {
        if (record.value().isEmpty()) {
            remove(record.key());
            return;
        }
        decoder.registration(record.key(), record.value().get())
                .ifPresentOrElse(this::register, () -> logUnreadable(Feed.TARGETS, record));
    }

    private void register(RecordDecoder.Registration registration) {
        RegisteredTarget target = registration.target();
        Optional<RegisteredTarget> before = clusterView.targets().find(target.id());
        TargetRegistry.Change change =
                clusterView.targets().register(target, registration.reportNumber());
        if (change == TargetRegistry.Change.NONE) {
            return;
        }
        if (target.leaving()) {
            listener.onTargetLeaving(target);
        }
        if (change == TargetRegistry.Change.ADDED) {
            listener.onTargetStarted(target);
            before.ifPresent(old -> clearTarget(old.incarnation(), old.address()));
        }
        TargetState state = clusterView.targetStates().getOrCreate(target.incarnation());
        target.weightVersions()
                .forEach(
                        (model, version) ->
                                updateWeightVersion(
                                        state, version, wasReported(before, model, version)));
        log.write(
                DecisionKind.TARGET_CHANGED,
                target.id(),
                () -> "address=" + target.address() + " weights=" + target.weightVersions(),
                change.toString());
    }

    private static boolean wasReported(
            Optional<RegisteredTarget> before, String model, int version) {
        return before.map(target -> target.weightVersions().get(model))
                .filter(reported -> reported == version)
                .isPresent();
    }

    /**
     * Updates the weight version of a target. A version that the target reports for the first time
     * is accepted even if it is lower than the known one; a repeated one can only raise it. The
     * cached prompt parts are cleared if the version changes.
     */
    private void updateWeightVersion(TargetState state, int version, boolean alreadyReported) {
        OptionalInt previous = state.weightVersion();
        if (alreadyReported) {
            state.raiseWeightVersion(version);
        } else {
            state.observeWeightVersion(version);
        }
        if (!previous.equals(state.weightVersion())) {
            clusterView.clearCachedParts(state.incarnation());
        }
    }

    private void remove(String id) {
        Optional<RegisteredTarget> before = clusterView.targets().find(id);
        TargetRegistry.Change change = clusterView.targets().remove(id);
        if (change == TargetRegistry.Change.REMOVED) {
            before.ifPresent(target -> clearTarget(target.incarnation(), target.address()));
            clusterView.targetStates().remove(id);
            clusterView.engineSpeeds().remove(id);
        }
        if (change != TargetRegistry.Change.NONE) {
            log.write(
                    DecisionKind.TARGET_CHANGED,
                    id,
                    () -> "registration deleted from the store",
                    change.toString());
        }
    }

    /** Clears the cached prompt parts of a target's run and closes idle connections to it. */
    private void clearTarget(TargetIncarnation incarnation, String address) {
        clusterView.clearCachedParts(incarnation);
        targetConnections.closeIdle(address);
    }

    /** Removes targets whose registrations were not renewed within the grace period. */
    public void removeLapsedTargets() {
        for (RegisteredTarget target : clusterView.targets().removeLapsed()) {
            clusterView.targetStates().remove(target.id());
            clusterView.engineSpeeds().remove(target.id());
            targetConnections.closeIdle(target.address());
            log.write(
                    DecisionKind.TARGET_CHANGED,
                    target.id(),
                    () ->
                            "registration not renewed within the grace period, now="
                                    + clock.instant(),
                    "REMOVED");
        }
    }
}
