package org.bergamothoist.gateway.control;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.FixedRecvByteBufAllocator;
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
import org.bergamothoist.core.fleet.OutstandingWork;
import org.bergamothoist.core.fleet.RegisteredTarget;
import org.bergamothoist.core.fleet.TargetState;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.gossip.ReportSchedule;
import org.bergamothoist.core.quarantine.GossipQuarantine;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.GatewayException;
import org.bergamothoist.gateway.client.ConnectionPool;
import org.bergamothoist.gateway.state.ClusterView;

/**
 * Exchanges reports with other daemons (gossip), one UDP datagram each. Confined to the event loop.
 *
 * <p>{@link ReportSchedule} decides who gets what in each round.
 */
public final class ReportExchange {

    /**
     * Time after which a target that was reported as loading weights no longer counts as loading,
     * unless it is reported again: a few reports.
     */
    private static final Duration CHANGING_WEIGHTS_TTL = Duration.ofMillis(1_500);

    /** Size above which a datagram is cut; by default 2,048, less than the load of 63 engines. */
    private static final int MAXIMUM_DATAGRAM_BYTES = 65_535;

    /** Minimum time since the last report for a report between rounds. */
    private static final Duration MINIMUM_PAUSE = Duration.ofMillis(60);

    /** Time to collect grown loads into one report: a small part of the prefill of a prompt. */
    private static final Duration LOAD_REPORT_DELAY = Duration.ofMillis(5);

    /**
     * Number of daemons that take callers' requests up to which grown loads are reported at once.
     */
    private static final int MAXIMUM_LOAD_REPORT_RECEIVERS = 8;

    /** Maximum number of receivers of a report between rounds. */
    private static final int MAXIMUM_URGENT_RECEIVERS = 64;

    private final ClusterView clusterView;
    private final OwnReport ownReport;
    private final Function<List<String>, ReportSchedule.Situation> situation;
    private final ReportSchedule schedule = new ReportSchedule();
    private final Consumer<String> onLoadingWeights;
    private final GossipQuarantine quarantine;
    private final EventLoop eventLoop;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final DecisionLog log;
    private Channel channel;
    private Instant lastSentAt = Instant.EPOCH;
    private boolean loadReportScheduled;
    private Set<String> previouslyAlive = Set.of();

    /** Creates this daemon's reports. */
    @FunctionalInterface
    public interface OwnReport {

        /**
         * Creates the next report.
         *
         * @param nextWithin longest time until its receivers get the next one
         * @param complete whether this daemon has no work at targets that are not listed
         */
        DaemonReport create(
                List<DaemonReport.TargetReport> targets, Duration nextWithin, boolean complete);
    }

    /**
     * Creates an exchange that is not open yet.
     *
     * @param situation returns what the receivers depend on, given the addresses of all daemons
     * @param onLoadingWeights called with the id of a target that is about to load weights
     * @param quarantine the suspect contents that reports tell of
     */
    public ReportExchange(
            ClusterView clusterView,
            OwnReport ownReport,
            Function<List<String>, ReportSchedule.Situation> situation,
            Consumer<String> onLoadingWeights,
            GossipQuarantine quarantine,
            EventLoop eventLoop,
            Scheduler scheduler,
            InstantSource clock,
            DecisionLog log) {
        this.clusterView = clusterView;
        this.ownReport = ownReport;
        this.situation = situation;
        this.onLoadingWeights = onLoadingWeights;
        this.quarantine = quarantine;
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
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new FixedRecvByteBufAllocator(MAXIMUM_DATAGRAM_BYTES))
                        .handler(new Receiver())
                        .bind(address);
        channel = bound.channel();
        bound.addListener(future -> round());
        return bound;
    }

    private void round() {
        ReportSchedule.Situation current = currentSituation();
        ReportSchedule.Round receivers = schedule.next(current);
        lastSentAt = clock.instant();
        send(targetReports(state -> true), current, receivers.complete(), true);
        send(List.of(), current, receivers.heartbeats(), false);
        logLivenessChanges();
        scheduler.schedule(ReportSchedule.ROUND_INTERVAL, this::round);
    }

    private ReportSchedule.Situation currentSituation() {
        return situation.apply(clusterView.daemons().reportReceivers());
    }

    /**
     * Sends a report before the next round because something changed, unless the last report was
     * sent a short time ago.
     */
    public void sendReportUnlessRecent() {
        if (channel == null || clock.instant().isBefore(lastSentAt.plus(MINIMUM_PAUSE))) {
            return;
        }
        lastSentAt = clock.instant();
        ReportSchedule.Situation current = currentSituation();
        List<String> receivers =
                current.completeReceivers().stream().limit(MAXIMUM_URGENT_RECEIVERS).toList();
        send(targetReports(state -> true), current, receivers, true);
    }

    /**
     * Handles the dispatch of a request to a target. If few daemons take requests, a considerable
     * growth of the target's load is reported at once, so that daemons do not all choose the same
     * target until the next round.
     */
    public void onDispatched(TargetState state) {
        boolean reportNeeded = !loadReportScheduled && state.load().needsReport();
        if (reportNeeded
                && currentSituation().completeReceivers().size() <= MAXIMUM_LOAD_REPORT_RECEIVERS) {
            loadReportScheduled = true;
            scheduler.schedule(LOAD_REPORT_DELAY, this::sendLoadReport);
        }
    }

    private void sendLoadReport() {
        loadReportScheduled = false;
        List<DaemonReport.TargetReport> grown = targetReports(state -> state.load().needsReport());
        if (!grown.isEmpty()) {
            ReportSchedule.Situation current = currentSituation();
            send(grown, current, current.completeReceivers(), false);
        }
    }

    private void send(
            List<DaemonReport.TargetReport> targets,
            ReportSchedule.Situation current,
            List<String> receivers,
            boolean complete) {
        if (receivers.isEmpty() || !channel.isActive()) {
            return;
        }
        targets.forEach(
                target ->
                        clusterView
                                .targetStates()
                                .find(target.target())
                                .ifPresent(state -> state.load().markReported()));
        Duration nextWithin = ReportSchedule.nextReportWithin(current);
        byte[] report =
                GossipMessageCodec.encode(
                        ownReport.create(targets, nextWithin, complete), quarantine.nextReport());
        for (String receiver : receivers) {
            channel.write(
                    new DatagramPacket(
                            Unpooled.wrappedBuffer(report),
                            ConnectionPool.socketAddress(receiver)));
        }
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
                    state.load().ownRequests() == 0
                            && !state.isChangingWeightsByOwnOrder(now)
                            && isVersionRegistered(target, state);
            if (!nothingToReport && filter.test(state)) {
                reports.add(
                        new DaemonReport.TargetReport(
                                target.id(),
                                target.incarnation().startedAt().toEpochMilli(),
                                state.load().ownRequests(),
                                state.load().ownPrefillTokens(),
                                state.weightVersion().orElse(0),
                                state.isChangingWeightsByOwnOrder(now),
                                state.load().ownMemoryTokens(),
                                state.load().ownUrgentStreams(),
                                clusterView.engineSpeeds().report(target, now)));
            }
        }
        return reports;
    }

    /** Returns whether other daemons know the target's weight version from its registration. */
    private static boolean isVersionRegistered(RegisteredTarget target, TargetState state) {
        return state.weightVersion().isEmpty()
                || target.weightVersions().containsValue(state.weightVersion().getAsInt());
    }

    private final class Receiver extends SimpleChannelInboundHandler<DatagramPacket> {

        @Override
        protected void channelRead0(ChannelHandlerContext context, DatagramPacket packet) {
            byte[] bytes = new byte[packet.content().readableBytes()];
            packet.content().readBytes(bytes);
            try {
                var received = GossipMessageCodec.decodeReport(bytes);
                quarantine.merge(received.suspects(), received.report().daemon().name());
                applyReport(received.report());
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
            if (report.complete()) {
                clearUnlistedLoads(report);
            }
        }

        private void clearUnlistedLoads(DaemonReport report) {
            Set<String> listed = new HashSet<>();
            report.targets().forEach(target -> listed.add(target.target()));
            for (RegisteredTarget target : clusterView.targets().all()) {
                if (!listed.contains(target.id())) {
                    clusterView
                            .targetStates()
                            .find(target.id())
                            .ifPresent(
                                    state -> state.load().clearRemoteLoad(report.daemon().name()));
                }
            }
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
                                                new OutstandingWork.Totals(
                                                        target.requests(),
                                                        target.prefillTokens(),
                                                        target.memoryTokens(),
                                                        target.urgentStreams()),
                                                now);
                                applySpeed(state, report.daemon().name(), target, now);
                                if (target.weightVersion() > 0) {
                                    state.raiseWeightVersion(target.weightVersion());
                                }
                                if (report.orderHolder()) {
                                    applyChangingWeights(
                                            state, report.daemon().name(), target, now);
                                }
                            });
        }

        private void applySpeed(
                TargetState state, String daemon, DaemonReport.TargetReport target, Instant now) {
            target.speed()
                    .ifPresent(
                            speed ->
                                    clusterView
                                            .engineSpeeds()
                                            .receive(daemon, state.incarnation(), speed, now));
        }

        private void applyChangingWeights(
                TargetState state, String daemon, DaemonReport.TargetReport target, Instant now) {
            boolean alreadyChanging = state.isChangingWeights(now);
            if (!target.changingWeights()) {
                state.setReportedChangeUntil(daemon, now);
                return;
            }
            state.setReportedChangeUntil(daemon, now.plus(CHANGING_WEIGHTS_TTL));
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
