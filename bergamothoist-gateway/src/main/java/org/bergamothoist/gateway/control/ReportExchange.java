package org.bergamothoist.gateway.control;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.DatagramPacket;
import io.netty.channel.socket.nio.NioDatagramChannel;
import java.net.SocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Predicate;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetState;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.GatewayException;
import org.bergamothoist.gateway.client.ConnectionPool;
import org.bergamothoist.gateway.state.ClusterView;

/**
 * Exchanges reports with other daemons (gossip), one UDP datagram each. Confined to the event loop.
 *
 * <p>A daemon sends to a bounded number of others in each round, so that its cost does not grow
 * with the fleet.
 */
public final class ReportExchange {

    /** Interval between rounds; the load of targets changes within the time of a few requests. */
    private static final Duration ROUND_INTERVAL = Duration.ofMillis(200);

    /**
     * Time after which a target that was reported as loading weights no longer counts as loading,
     * unless it is reported again: a few reports.
     */
    private static final Duration CHANGING_WEIGHTS_TTL = Duration.ofMillis(700);

    /** Minimum time since the last report for a report between rounds. */
    private static final Duration MINIMUM_PAUSE = Duration.ofMillis(60);

    /** Time to collect grown loads into one report: a small part of the prefill of a prompt. */
    private static final Duration LOAD_REPORT_DELAY = Duration.ofMillis(5);

    /** Maximum number of receivers of a round. */
    private static final int MAXIMUM_RECEIVERS = 8;

    private final ClusterView clusterView;
    private final Function<List<DaemonReport.TargetReport>, DaemonReport> ownReport;
    private final Consumer<String> onLoadingWeights;
    private final EventLoop eventLoop;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final DecisionLog log;
    private Channel channel;
    private Instant lastSentAt = Instant.EPOCH;
    private int nextReceiver;
    private boolean loadReportScheduled;
    private Set<String> previouslyAlive = Set.of();

    /**
     * Creates an exchange that is not open yet.
     *
     * @param ownReport creates this daemon's report, which contains the given target reports
     * @param onLoadingWeights called with the id of a target that is about to load weights
     */
    public ReportExchange(
            ClusterView clusterView,
            Function<List<DaemonReport.TargetReport>, DaemonReport> ownReport,
            Consumer<String> onLoadingWeights,
            EventLoop eventLoop,
            Scheduler scheduler,
            InstantSource clock,
            DecisionLog log) {
        this.clusterView = clusterView;
        this.ownReport = ownReport;
        this.onLoadingWeights = onLoadingWeights;
        this.eventLoop = eventLoop;
        this.scheduler = scheduler;
        this.clock = clock;
        this.log = log;
    }

    /** Binds the address and starts the rounds. */
    public ChannelFuture open(SocketAddress address) {
        ChannelFuture bound =
                new Bootstrap()
                        .group(eventLoop)
                        .channel(NioDatagramChannel.class)
                        .handler(new Receiver())
                        .bind(address);
        channel = bound.channel();
        bound.addListener(future -> round());
        return bound;
    }

    private void round() {
        sendFullReport();
        logLivenessChanges();
        scheduler.schedule(ROUND_INTERVAL, this::round);
    }

    /**
     * Sends a report before the next round because something changed, unless the last report was
     * sent a short time ago.
     */
    public void sendReportUnlessRecent() {
        if (channel != null && !clock.instant().isBefore(lastSentAt.plus(MINIMUM_PAUSE))) {
            sendFullReport();
        }
    }

    /**
     * Handles the dispatch of a request to a target. In a small fleet a considerable growth of the
     * target's load is reported at once, so that daemons do not all choose the same target until
     * the next round.
     */
    public void onDispatched(TargetState state) {
        boolean reportNeeded = !loadReportScheduled && state.load().needsReport();
        if (reportNeeded && clusterView.daemons().reportReceivers().size() <= MAXIMUM_RECEIVERS) {
            loadReportScheduled = true;
            scheduler.schedule(LOAD_REPORT_DELAY, this::sendLoadReport);
        }
    }

    private void sendLoadReport() {
        loadReportScheduled = false;
        List<DaemonReport.TargetReport> grown = targetReports(state -> state.load().needsReport());
        if (!grown.isEmpty()) {
            send(grown);
        }
    }

    private void sendFullReport() {
        lastSentAt = clock.instant();
        send(targetReports(state -> true));
    }

    private void send(List<DaemonReport.TargetReport> targets) {
        List<String> receivers = clusterView.daemons().reportReceivers();
        if (receivers.isEmpty() || !channel.isActive()) {
            return;
        }
        targets.forEach(
                target ->
                        clusterView
                                .targetStates()
                                .find(target.target())
                                .ifPresent(state -> state.load().markReported()));
        byte[] report = GossipMessageCodec.encode(ownReport.apply(targets));
        int count = Math.min(MAXIMUM_RECEIVERS, receivers.size());
        for (int index = 0; index < count; index++) {
            String receiver = receivers.get((nextReceiver + index) % receivers.size());
            channel.write(
                    new DatagramPacket(
                            Unpooled.wrappedBuffer(report),
                            ConnectionPool.socketAddress(receiver)));
        }
        nextReceiver = (nextReceiver + count) % receivers.size();
        channel.flush();
    }

    private void logLivenessChanges() {
        Set<String> alive = new HashSet<>();
        clusterView.daemons().aliveReports().forEach(report -> alive.add(report.daemon().name()));
        for (String name : alive) {
            if (!previouslyAlive.contains(name)) {
                log.write(DecisionKind.DAEMON_CHANGED, name, () -> "report received", "alive");
            }
        }
        for (String name : previouslyAlive) {
            if (!alive.contains(name)) {
                log.write(
                        DecisionKind.DAEMON_CHANGED,
                        name,
                        () -> "no report within the liveness timeout",
                        "silent");
            }
        }
        previouslyAlive = alive;
    }

    private List<DaemonReport.TargetReport> targetReports(Predicate<TargetState> filter) {
        Instant now = clock.instant();
        List<DaemonReport.TargetReport> reports = new ArrayList<>();
        for (RegisteredTarget target : clusterView.targets().all()) {
            TargetState state = clusterView.targetStates().getOrCreate(target.incarnation());
            boolean nothingToReport =
                    state.load().ownRequests() == 0 && state.weightVersion().isEmpty();
            if (!nothingToReport && filter.test(state)) {
                reports.add(
                        new DaemonReport.TargetReport(
                                target.id(),
                                target.incarnation().startedAt().toEpochMilli(),
                                state.load().ownRequests(),
                                state.load().ownPrefillTokens(),
                                state.weightVersion().orElse(0),
                                state.isChangingWeights(now)));
            }
        }
        return reports;
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            byte[] bytes = new byte[packet.content().readableBytes()];
            packet.content().readBytes(bytes);
            try {
                applyReport(GossipMessageCodec.decodeReport(bytes));
            } catch (GatewayException exception) {
                log.write(
                        DecisionKind.RECORD_IGNORED,
                        String.valueOf(packet.sender()),
                        exception::getMessage,
                        "malformed report ignored");
            }
        }

        private void applyReport(DaemonReport report) {
            if (!clusterView.daemons().update(report)) {
                return;
            }
            report.targets().forEach(target -> applyTargetReport(report, target));
        }

        private void applyTargetReport(DaemonReport report, DaemonReport.TargetReport target) {
            Instant now = clock.instant();
            clusterView
                    .targetStates()
                    .find(target.target())
                    .filter(state -> isSameIncarnation(state, target))
                    .ifPresent(
                            state -> {
                                state.load()
                                        .updateRemoteLoad(
                                                report.daemon().name(),
                                                target.requests(),
                                                target.prefillTokens(),
                                                now);
                                if (target.weightVersion() > 0) {
                                    state.raiseWeightVersion(target.weightVersion());
                                }
                                if (report.orderHolder()) {
                                    applyChangingWeights(state, target, now);
                                }
                            });
        }

        private void applyChangingWeights(
                TargetState state, DaemonReport.TargetReport target, Instant now) {
            boolean alreadyChanging = state.isChangingWeights(now);
            if (!target.changingWeights()) {
                state.setChangingWeightsUntil(now);
                return;
            }
            state.setChangingWeightsUntil(now.plus(CHANGING_WEIGHTS_TTL));
            if (!alreadyChanging) {
                onLoadingWeights.accept(target.target());
            }
        }

        private static boolean isSameIncarnation(
                TargetState state, DaemonReport.TargetReport target) {
            return state.incarnation().startedAt().toEpochMilli() == target.startedAtMilliseconds();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.write(
                    DecisionKind.RECORD_IGNORED,
                    "report-link",
                    () -> "" + cause,
                    "datagram not sent or received");
        }
    }
}
