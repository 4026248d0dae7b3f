package org.bergamothoist.gateway.control;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.feed.FeedMirror;
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

    private final FeedMirror mirror;
    private final FeedFreshness operatorFreshness;
    private final ClusterView clusterView;
    private final PeerClient client;
    private final BooleanSupplier needed;
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
     * @param operatorFreshness bounds the age of operators' records; told of each relayed read
     * @param needed returns whether this daemon needs records or dates of other daemons
     * @param random returns numbers from 0 (inclusive) to 1 (exclusive)
     */
    public RecordRelay(
            FeedMirror mirror,
            FeedFreshness operatorFreshness,
            ClusterView clusterView,
            PeerClient client,
            BooleanSupplier needed,
            Scheduler scheduler,
            InstantSource clock,
            DoubleSupplier random,
            DecisionLog log) {
        this.mirror = mirror;
        this.operatorFreshness = operatorFreshness;
        this.clusterView = clusterView;
        this.client = client;
        this.needed = needed;
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
        List<DaemonReport> sources =
                clusterView.daemons().aliveReports().stream()
                        .filter(DaemonReport::storeReachable)
                        .toList();
        if (!sources.isEmpty()) {
            requestRecords(
                    sources.get((int) (random.getAsDouble() * sources.size()) % sources.size()));
        }
    }

    private void requestRecords(DaemonReport source) {
        byte[] request =
                GossipMessageCodec.encode(
                        new GossipMessageCodec.RelayRequest(
                                mirror.newestOffset(Feed.OPERATOR),
                                mirror.newestOffset(Feed.TARGETS)));
        Instant sentAt = clock.instant();
        var call =
                new HttpCaller.Call(
                        HttpMethod.POST,
                        source.peerAddress(),
                        PATH,
                        Map.of(),
                        request,
                        REQUEST_TIMEOUT);
        client.call(call)
                .whenComplete(
                        (response, failure) -> {
                            if (failure == null && response.status() == OK) {
                                applyRecords(source, response, sentAt);
                                return;
                            }
                            log.write(
                                    DecisionKind.RECORD_IGNORED,
                                    source.daemon().name(),
                                    () -> failure == null ? "" + response.status() : "" + failure,
                                    "records not received from this daemon");
                        });
    }

    private void applyRecords(DaemonReport source, HttpAnswer response, Instant sentAt) {
        try {
            GossipMessageCodec.RelayResponse records =
                    GossipMessageCodec.decodeRelayResponse(response.body());
            mirror.apply(Feed.OPERATOR, records.operatorRecords());
            mirror.apply(Feed.TARGETS, records.targetRecords());
            records.weightVersions().forEach(version -> applyDate(source, version, sentAt));
            records.operatorAge()
                    .ifPresent(age -> operatorFreshness.extendCompleteUntil(sentAt.minus(age)));
        } catch (GatewayException exception) {
            log.write(
                    DecisionKind.RECORD_IGNORED,
                    source.daemon().name(),
                    exception::getMessage,
                    "malformed response with relayed records ignored");
        }
    }

    private void applyDate(
            DaemonReport source, GossipMessageCodec.WeightVersionAge version, Instant sentAt) {
        boolean refined =
                clusterView
                        .desiredWeightVersions()
                        .refine(version.model(), version.version(), sentAt.minus(version.age()));
        if (refined) {
            log.write(
                    DecisionKind.WEIGHTS_NAMED,
                    version.model(),
                    () ->
                            "age-at-most="
                                    + version.age().toMillis()
                                    + " daemon="
                                    + source.daemon().name(),
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
                            mirror.recordsAfter(Feed.OPERATOR, request.operatorOffset()),
                            mirror.recordsAfter(Feed.TARGETS, request.targetsOffset()),
                            weightVersionAges(),
                            operatorFreshness.completeUntil().map(this::age));
            return new AuxiliaryHttpServer.Response(
                    OK, CONTENT_TYPE, GossipMessageCodec.encode(response));
        } catch (GatewayException exception) {
            return new AuxiliaryHttpServer.Response(BAD_REQUEST, CONTENT_TYPE, new byte[0]);
        }
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
