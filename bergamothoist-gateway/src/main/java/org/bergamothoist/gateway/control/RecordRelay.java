package org.bergamothoist.gateway.control;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.feed.LogPosition;
import org.bergamothoist.core.feed.ReplicatedFeeds;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.GatewayException;
import org.bergamothoist.gateway.client.HttpAnswer;
import org.bergamothoist.gateway.client.HttpCaller;
import org.bergamothoist.gateway.state.ClusterView;

/**
 * Fetches records of the platform's store and dates of weight versions from another daemon while
 * this daemon cannot read the store itself, or only assumes when versions were requested, and
 * serves them to other daemons. Confined to the event loop.
 */
public final class RecordRelay {

    /** Path at which a daemon serves records to others. */
    public static final String PATH = "/records";

    /** Interval between requests while they are needed. */
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(300);

    /** Timeout of a request: many round trips between data centres. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(600);

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final String CONTENT_TYPE = "application/x-protobuf";

    private final ReplicatedFeeds feeds;
    private final ClusterView clusterView;
    private final PeerClient client;
    private final BooleanSupplier needed;
    private final BooleanSupplier datesNeeded;
    private final BooleanSupplier readsSuspended;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final DoubleSupplier random;
    private final DecisionLog log;

    /** Calls other daemons. */
    @FunctionalInterface
    public interface PeerClient {

        /** Makes a call; the stage fails if no complete answer comes in time. */
        CompletionStage<HttpAnswer> call(HttpCaller.Call call);
    }

    /**
     * Creates a relay that sends no requests yet.
     *
     * @param feeds the replica, which is told of each relayed read
     * @param needed returns whether this daemon sends requests of its own accord, because it needs
     *     records or dates of other daemons
     * @param datesNeeded returns whether this daemon only assumes dates of weight versions
     * @param readsSuspended returns whether this daemon knows of registrations only by relayed
     *     records
     * @param random returns numbers from 0 (inclusive) to 1 (exclusive)
     */
    public RecordRelay(
            ReplicatedFeeds feeds,
            ClusterView clusterView,
            PeerClient client,
            BooleanSupplier needed,
            BooleanSupplier datesNeeded,
            BooleanSupplier readsSuspended,
            Scheduler scheduler,
            InstantSource clock,
            DoubleSupplier random,
            DecisionLog log) {
        this.feeds = feeds;
        this.clusterView = clusterView;
        this.client = client;
        this.needed = needed;
        this.datesNeeded = datesNeeded;
        this.readsSuspended = readsSuspended;
        this.scheduler = scheduler;
        this.clock = clock;
        this.random = random;
        this.log = log;
    }

    /** Starts to send requests whenever they are needed. */
    public void start() {
        scheduler.schedule(REQUEST_INTERVAL, this::requestIfNeeded);
    }

    private void requestIfNeeded() {
        scheduler.schedule(REQUEST_INTERVAL, this::requestIfNeeded);
        if (!needed.getAsBoolean()) {
            return;
        }
        List<DaemonReport> sources = sources();
        if (!sources.isEmpty()) {
            DaemonReport source =
                    sources.get((int) (random.getAsDouble() * sources.size()) % sources.size());
            requestRecords(source.daemon().name(), source.peerAddress(), REQUEST_TIMEOUT, false);
        }
    }

    /**
     * Returns the daemons that read the store, or if none says so, those that were able to when
     * they last tried.
     */
    private List<DaemonReport> sources() {
        List<DaemonReport> reachable =
                clusterView.daemons().aliveReports().stream()
                        .filter(DaemonReport::storeReachable)
                        .toList();
        List<DaemonReport> readers = reachable.stream().filter(DaemonReport::storeReader).toList();
        return readers.isEmpty() ? reachable : readers;
    }

    /**
     * Requests records from a daemon and applies them. The stage contains for each feed up to which
     * time all records are known by the answer, if that is known; it fails if there is no usable
     * answer.
     *
     * @param source name of the daemon
     * @param address its address for other daemons
     */
    public CompletionStage<Map<Feed, Instant>> request(
            String source, String address, Duration timeout) {
        return requestRecords(source, address, timeout, !datesNeeded.getAsBoolean());
    }

    private CompletionStage<Map<Feed, Instant>> requestRecords(
            String source, String address, Duration timeout, boolean datesKnown) {
        byte[] request =
                GossipMessageCodec.encode(
                        new GossipMessageCodec.RelayRequest(
                                feeds.mirror().position(Feed.OPERATOR),
                                feeds.mirror().position(Feed.TARGETS),
                                datesKnown));
        Instant sentAt = clock.instant();
        var call = new HttpCaller.Call(HttpMethod.POST, address, PATH, Map.of(), request, timeout);
        return client.call(call)
                .thenApply(response -> applyRecords(source, response, sentAt))
                .whenComplete(
                        (completeUntil, failure) -> {
                            if (failure != null) {
                                logFailure(source, unwrap(failure));
                            }
                        });
    }

    private void logFailure(String source, Throwable failure) {
        boolean malformed =
                failure instanceof GatewayException exception
                        && exception.code() == ErrorCode.INVALID_PEER_MESSAGE;
        log.write(
                DecisionKind.RECORD_IGNORED,
                source,
                () -> "" + failure,
                malformed
                        ? "malformed response with relayed records ignored"
                        : "records not received from this daemon");
    }

    private static Throwable unwrap(Throwable failure) {
        return failure instanceof CompletionException && failure.getCause() != null
                ? failure.getCause()
                : failure;
    }

    private Map<Feed, Instant> applyRecords(String source, HttpAnswer response, Instant sentAt) {
        if (response.status() != OK) {
            throw new IllegalStateException("status " + response.status());
        }
        GossipMessageCodec.RelayResponse records =
                GossipMessageCodec.decodeRelayResponse(response.body());
        if (readsSuspended.getAsBoolean()) {
            applyAvailability(records.lapsesPossible());
        }
        Map<Feed, Instant> completeUntil = new EnumMap<>(Feed.class);
        applyFeed(Feed.OPERATOR, records.operators(), sentAt, completeUntil);
        applyFeed(Feed.TARGETS, records.targets(), sentAt, completeUntil);
        records.weightVersions().forEach(version -> applyDate(source, version, sentAt));
        return completeUntil;
    }

    private void applyAvailability(boolean lapsesPossible) {
        if (lapsesPossible) {
            clusterView.targets().onStoreUnavailable();
        } else {
            clusterView.targets().onStoreAvailable();
        }
    }

    private void applyFeed(
            Feed feed,
            GossipMessageCodec.RelayedFeed relayed,
            Instant sentAt,
            Map<Feed, Instant> completeUntil) {
        feeds.mirror().applyRelayed(feed, relayed.records(), relayed.position());
        if (relayed.position().filter(position -> isOfEarlierEra(feed, position)).isPresent()) {
            return;
        }
        relayed.age()
                .map(sentAt::minus)
                .ifPresent(
                        until -> {
                            completeUntil.put(feed, until);
                            feeds.freshness(feed)
                                    .ifPresent(freshness -> freshness.extendCompleteUntil(until));
                        });
    }

    private boolean isOfEarlierEra(Feed feed, LogPosition position) {
        return position.era() < feeds.mirror().position(feed).era();
    }

    private void applyDate(
            String source, GossipMessageCodec.WeightVersionAge version, Instant sentAt) {
        boolean refined =
                clusterView
                        .desiredWeightVersions()
                        .refine(version.model(), version.version(), sentAt.minus(version.age()));
        if (refined) {
            log.write(
                    DecisionKind.WEIGHTS_NAMED,
                    version.model(),
                    () -> "age-at-most=" + version.age().toMillis() + " daemon=" + source,
                    "version " + version.version() + " dated");
        }
    }

    /**
     * Handles a request of another daemon; responds with status 400 if it is malformed.
     *
     * @param body the encoded request
     */
    public AuxiliaryHttpServer.Response handleRequest(byte[] body) {
        try {
            GossipMessageCodec.RelayRequest request = GossipMessageCodec.decodeRelayRequest(body);
            var response =
                    new GossipMessageCodec.RelayResponse(
                            relayedFeed(Feed.OPERATOR, request.operators()),
                            relayedFeed(Feed.TARGETS, request.targets()),
                            request.versionDatesKnown() ? List.of() : weightVersionAges(),
                            clusterView.targets().mayHaveLapsed());
            return new AuxiliaryHttpServer.Response(
                    OK, CONTENT_TYPE, GossipMessageCodec.encode(response));
        } catch (GatewayException exception) {
            return new AuxiliaryHttpServer.Response(BAD_REQUEST, CONTENT_TYPE, new byte[0]);
        }
    }

    private GossipMessageCodec.RelayedFeed relayedFeed(Feed feed, LogPosition after) {
        return new GossipMessageCodec.RelayedFeed(
                feeds.mirror().recordsAfter(feed, after),
                feeds.freshness(feed).flatMap(FeedFreshness::completeUntil).map(this::age),
                Optional.of(feeds.mirror().position(feed)));
    }

    private List<GossipMessageCodec.WeightVersionAge> weightVersionAges() {
        return clusterView.desiredWeightVersions().knownDates().stream()
                .map(
                        date ->
                                new GossipMessageCodec.WeightVersionAge(
                                        date.model(), date.version(), age(date.requestedSince())))
                .toList();
    }

    private Duration age(Instant instant) {
        return Duration.between(instant, clock.instant());
    }
}
