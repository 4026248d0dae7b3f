package org.bergamothoist.gateway.control;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedFreshness;
import org.bergamothoist.core.feed.FeedMirror;
import org.bergamothoist.core.gossip.DaemonDirectory;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.GatewayException;
import org.bergamothoist.gateway.client.HttpAnswer;
import org.bergamothoist.gateway.client.HttpCaller;

/**
 * Fetches records of the platform's store from another daemon while this daemon cannot read the
 * store itself, and serves them to other daemons. No messages are sent while all daemons reach the
 * store. Confined to the event loop.
 */
public final class RecordRelay {

    /** Path at which a daemon serves records to others. */
    public static final String PATH = "/records";

    /** Interval between requests while the store cannot be reached. */
    private static final Duration REQUEST_INTERVAL = Duration.ofMillis(300);

    /** Timeout of a request: many round trips between data centres. */
    private static final Duration REQUEST_TIMEOUT = Duration.ofMillis(600);

    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final String CONTENT_TYPE = "application/x-protobuf";

    private final FeedMirror mirror;
    private final FeedFreshness operatorFreshness;
    private final DaemonDirectory daemons;
    private final HttpCaller caller;
    private final BooleanSupplier storeUnreachable;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final DoubleSupplier random;
    private final DecisionLog log;

    /**
     * Creates a relay that sends no requests yet.
     *
     * @param operatorFreshness bounds the age of operators' records; told of each relayed read
     * @param storeUnreachable returns whether this daemon cannot read the store
     * @param random returns numbers from 0 (inclusive) to 1 (exclusive)
     */
    public RecordRelay(
            FeedMirror mirror,
            FeedFreshness operatorFreshness,
            DaemonDirectory daemons,
            HttpCaller caller,
            BooleanSupplier storeUnreachable,
            Scheduler scheduler,
            InstantSource clock,
            DoubleSupplier random,
            DecisionLog log) {
        this.mirror = mirror;
        this.operatorFreshness = operatorFreshness;
        this.daemons = daemons;
        this.caller = caller;
        this.storeUnreachable = storeUnreachable;
        this.scheduler = scheduler;
        this.clock = clock;
        this.random = random;
        this.log = log;
    }

    /** Starts to request records whenever the store cannot be reached. */
    public void start() {
        scheduler.schedule(REQUEST_INTERVAL, this::requestIfStoreUnreachable);
    }

    private void requestIfStoreUnreachable() {
        scheduler.schedule(REQUEST_INTERVAL, this::requestIfStoreUnreachable);
        if (!storeUnreachable.getAsBoolean()) {
            return;
        }
        List<DaemonReport> sources =
                daemons.aliveReports().stream().filter(DaemonReport::storeReachable).toList();
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
        caller.call(call)
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
            operatorFreshness.recordComplete(sentAt);
        } catch (GatewayException exception) {
            log.write(
                    DecisionKind.RECORD_IGNORED,
                    source.daemon().name(),
                    exception::getMessage,
                    "malformed response with relayed records ignored");
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
                            mirror.recordsAfter(Feed.TARGETS, request.targetsOffset()));
            return new AuxiliaryHttpServer.Response(
                    OK, CONTENT_TYPE, GossipMessageCodec.encode(response));
        } catch (GatewayException exception) {
            return new AuxiliaryHttpServer.Response(BAD_REQUEST, CONTENT_TYPE, new byte[0]);
        }
    }
}
