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
import java.util.function.BiFunction;
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
    static final Duration REQUEST_TIMEOUT = Duration.ofMillis(600);

    /** Precedes all records, so that an answer contains each record that its daemon has. */
    private static final LogPosition BEFORE_ALL_RECORDS = new LogPosition(0, Long.MIN_VALUE);

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

    /**
     * Requests all records that a daemon has, those included that the store may have lost, and
     * applies what this daemon lacks. The stage contains whether the daemon has any of operators;
     * it fails if there is no usable answer.
     */
    public CompletionStage<Boolean> requestAll(String source, String address) {
        return requestFrom(BEFORE_ALL_RECORDS, source, address);
    }

    /** Requests all records of operators that a daemon has, and new ones of targets. */
    public CompletionStage<Boolean> requestOperators(String source, String address) {
        return requestFrom(feeds.mirror().position(Feed.TARGETS), source, address);
    }

    private CompletionStage<Boolean> requestFrom(
            LogPosition targets, String source, String address) {
        var request =
                new GossipMessageCodec.RelayRequest(
                        BEFORE_ALL_RECORDS, targets, !datesNeeded.getAsBoolean());
        return send(
                request,
                source,
                address,
                REQUEST_TIMEOUT,
                (records, sentAt) -> {
                    applyRecords(source, records, sentAt);
                    return !records.operators().records().isEmpty();
                });
    }

    private CompletionStage<Map<Feed, Instant>> requestRecords(
            String source, String address, Duration timeout, boolean datesKnown) {
        var request =
                new GossipMessageCodec.RelayRequest(
                        feeds.mirror().position(Feed.OPERATOR),
                        feeds.mirror().position(Feed.TARGETS),
                        datesKnown);
        return send(
                request,
                source,
                address,
                timeout,
                (records, sentAt) -> applyRecords(source, records, sentAt));
    }

    private <T> CompletionStage<T> send(
            GossipMessageCodec.RelayRequest request,
            String source,
            String address,
            Duration timeout,
            BiFunction<GossipMessageCodec.RelayResponse, Instant, T> apply) {
        Instant sentAt = clock.instant();
        byte[] body = GossipMessageCodec.encode(request);
        var call = new HttpCaller.Call(HttpMethod.POST, address, PATH, Map.of(), body, timeout);
        return client.call(call)
                .thenApply(response -> apply.apply(decode(response), sentAt))
                .whenComplete(
                        (applied, failure) -> {
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

    private static GossipMessageCodec.RelayResponse decode(HttpAnswer response) {
        if (response.status() != OK) {
            throw new IllegalStateException("status " + response.status());
        }
        return GossipMessageCodec.decodeRelayResponse(response.body());
    }

    /** Applies records; a daemon in an earlier era is only believed what it has records of. */
    private Map<Feed, Instant> applyRecords(
            String source, GossipMessageCodec.RelayResponse records, Instant sentAt) {
        if (isOfLaterEra(records.targets())) {
            clusterView.targets().onStoreFallback();
        }
        if (readsSuspended.getAsBoolean() && !isOfEarlierEra(Feed.TARGETS, records.targets())) {
            applyAvailability(records.lapsesPossible());
        }
        Map<Feed, Instant> completeUntil = new EnumMap<>(Feed.class);
        applyFeed(Feed.OPERATOR, records.operators(), sentAt, completeUntil);
        applyFeed(Feed.TARGETS, records.targets(), sentAt, completeUntil);
        if (!isOfEarlierEra(Feed.OPERATOR, records.operators())) {
            records.weightVersions().forEach(version -> applyDate(source, version, sentAt));
        }
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
        if (isOfEarlierEra(feed, relayed)) {
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

    private boolean isOfEarlierEra(Feed feed, GossipMessageCodec.RelayedFeed relayed) {
        return relayed.position()
                .filter(position -> feeds.mirror().isEarlierEra(feed, position.era()))
                .isPresent();
    }

    private boolean isOfLaterEra(GossipMessageCodec.RelayedFeed targets) {
        long era = feeds.mirror().position(Feed.TARGETS).era();
        return targets.position().filter(position -> position.era() > era).isPresent();
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
