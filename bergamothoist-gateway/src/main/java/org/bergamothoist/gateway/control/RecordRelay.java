package org.bergamothoist.gateway.control;

import io.netty.handler.codec.http.HttpMethod;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.feed.Feed;
import org.bergamothoist.core.feed.FeedMirror;
import org.bergamothoist.core.gossip.DaemonDirectory;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.GatewayException;
import org.bergamothoist.gateway.client.HttpAnswer;
import org.bergamothoist.gateway.client.HttpCaller;

/**
 * Passes records of the store on to daemons that the store turns away. Such a daemon asks another
 * one that reaches the store; while all do, no messages are sent. Confined to the event loop.
 */
public final class RecordRelay {

    /** Path of the call between daemons. */
    public static final String PATH = "/records";

    /** Interval between questions while the store is away. */
    private static final Duration INTERVAL = Duration.ofMillis(300);

    /** Time for an answer: many times the way between data centres. */
    private static final Duration TIMEOUT = Duration.ofMillis(600);

    private static final int SUCCESS = 200;
    private static final int BAD_REQUEST = 400;
    private static final String CONTENT_TYPE = "application/x-protobuf";

    private final FeedMirror mirror;
    private final DaemonDirectory daemons;
    private final HttpCaller caller;
    private final BooleanSupplier storeAway;
    private final Scheduler scheduler;
    private final DoubleSupplier random;
    private final DecisionLog log;

    /**
     * Creates a relay that asks nobody yet.
     *
     * @param storeAway whether this daemon cannot read the store
     * @param random draws numbers from 0 to 1
     */
    public RecordRelay(
            FeedMirror mirror,
            DaemonDirectory daemons,
            HttpCaller caller,
            BooleanSupplier storeAway,
            Scheduler scheduler,
            DoubleSupplier random,
            DecisionLog log) {
        this.mirror = mirror;
        this.daemons = daemons;
        this.caller = caller;
        this.storeAway = storeAway;
        this.scheduler = scheduler;
        this.random = random;
        this.log = log;
    }

    /** Starts to ask whenever the store is away. */
    public void start() {
        scheduler.schedule(INTERVAL, this::look);
    }

    private void look() {
        scheduler.schedule(INTERVAL, this::look);
        if (!storeAway.getAsBoolean()) {
            return;
        }
        List<DaemonReport> informed =
                daemons.aliveReports().stream().filter(DaemonReport::storeReachable).toList();
        if (!informed.isEmpty()) {
            ask(informed.get((int) (random.getAsDouble() * informed.size()) % informed.size()));
        }
    }

    private void ask(DaemonReport daemon) {
        byte[] question =
                ReportMapper.encode(
                        new ReportMapper.Question(
                                mirror.newestOffset(Feed.OPERATOR),
                                mirror.newestOffset(Feed.TARGETS)));
        var call =
                new HttpCaller.Call(
                        HttpMethod.POST, daemon.peerAddress(), PATH, Map.of(), question, TIMEOUT);
        caller.call(call)
                .whenComplete(
                        (answer, failure) -> {
                            if (failure == null && answer.status() == SUCCESS) {
                                accept(daemon, answer);
                                return;
                            }
                            log.write(
                                    DecisionKind.RECORD_IGNORED,
                                    daemon.daemon().name(),
                                    () -> failure == null ? "" + answer.status() : "" + failure,
                                    "no relayed records");
                        });
    }

    private void accept(DaemonReport daemon, HttpAnswer answer) {
        try {
            ReportMapper.Answer records = ReportMapper.decodeAnswer(answer.body());
            mirror.apply(Feed.OPERATOR, records.operatorRecords());
            mirror.apply(Feed.TARGETS, records.targetRecords());
        } catch (GatewayException exception) {
            log.write(
                    DecisionKind.RECORD_IGNORED,
                    daemon.daemon().name(),
                    exception::getMessage,
                    "relayed records ignored");
        }
    }

    /** Answers another daemon's question. */
    public SideServer.SideAnswer answer(byte[] body) {
        try {
            ReportMapper.Question question = ReportMapper.decodeQuestion(body);
            var answer =
                    new ReportMapper.Answer(
                            mirror.recordsAfter(Feed.OPERATOR, question.operatorOffset()),
                            mirror.recordsAfter(Feed.TARGETS, question.targetsOffset()));
            return new SideServer.SideAnswer(SUCCESS, CONTENT_TYPE, ReportMapper.encode(answer));
        } catch (GatewayException exception) {
            return new SideServer.SideAnswer(BAD_REQUEST, CONTENT_TYPE, new byte[0]);
        }
    }
}
