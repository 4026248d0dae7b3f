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
import org.bergamothoist.gateway.state.Beliefs;

/**
 * Exchanges reports with other daemons, one datagram each. Confined to the event loop.
 *
 * <p>A daemon sends to a bounded number of others in each round, so that its cost does not grow
 * with the fleet.
 */
public final class ReportLink {

    /** Interval between rounds: loads change within the time of a few requests. */
    private static final Duration INTERVAL = Duration.ofMillis(200);

    /** Time for which a reported change of weights counts: a few reports. */
    private static final Duration CHANGE_LIFETIME = Duration.ofMillis(700);

    /** Least pause between reports that changes cause. */
    private static final Duration LEAST_PAUSE = Duration.ofMillis(60);

    /** Time in which reports of grown loads are gathered: a small part of the reading of one. */
    private static final Duration GROWTH_DELAY = Duration.ofMillis(5);

    /** Most receivers of a round, so that cost does not grow with the fleet. */
    private static final int MOST_RECEIVERS = 8;

    private final Beliefs beliefs;
    private final Function<List<DaemonReport.TargetReport>, DaemonReport> ownReport;
    private final Consumer<String> onChanging;
    private final EventLoop eventLoop;
    private final Scheduler scheduler;
    private final InstantSource clock;
    private final DecisionLog log;
    private Channel channel;
    private Instant sentAt = Instant.EPOCH;
    private int position;
    private boolean growthScheduled;
    private Set<String> aliveBefore = Set.of();

    /**
     * Creates a link that is not open yet.
     *
     * @param ownReport makes this daemon's report about targets
     * @param onChanging moves work off a target that is about to load weights
     */
    public ReportLink(
            Beliefs beliefs,
            Function<List<DaemonReport.TargetReport>, DaemonReport> ownReport,
            Consumer<String> onChanging,
            EventLoop eventLoop,
            Scheduler scheduler,
            InstantSource clock,
            DecisionLog log) {
        this.beliefs = beliefs;
        this.ownReport = ownReport;
        this.onChanging = onChanging;
        this.eventLoop = eventLoop;
        this.scheduler = scheduler;
        this.clock = clock;
        this.log = log;
    }

    /** Opens the link and starts the rounds. */
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
        sendToNext();
        noteChanges();
        scheduler.schedule(INTERVAL, this::round);
    }

    /** Reports soon because something changed that others should know. */
    public void reportSoon() {
        if (channel != null && !clock.instant().isBefore(sentAt.plus(LEAST_PAUSE))) {
            sendToNext();
        }
    }

    /**
     * Notes that a request was sent to a target. In a small fleet others hear of it at once if much
     * was sent, so that not all choose the same target until the next round.
     */
    public void onDispatched(TargetState state) {
        boolean due = !growthScheduled && state.load().needsReport();
        if (due && beliefs.daemons().reportReceivers().size() <= MOST_RECEIVERS) {
            growthScheduled = true;
            scheduler.schedule(GROWTH_DELAY, this::reportGrowth);
        }
    }

    private void reportGrowth() {
        growthScheduled = false;
        List<DaemonReport.TargetReport> grown = targetReports(state -> state.load().needsReport());
        if (!grown.isEmpty()) {
            send(grown);
        }
    }

    private void sendToNext() {
        sentAt = clock.instant();
        send(targetReports(state -> true));
    }

    private void send(List<DaemonReport.TargetReport> targets) {
        List<String> receivers = beliefs.daemons().reportReceivers();
        if (receivers.isEmpty() || !channel.isActive()) {
            return;
        }
        targets.forEach(
                target ->
                        beliefs.targetStates()
                                .find(target.target())
                                .ifPresent(state -> state.load().markReported()));
        byte[] report = ReportMapper.encode(ownReport.apply(targets));
        int count = Math.min(MOST_RECEIVERS, receivers.size());
        for (int index = 0; index < count; index++) {
            String receiver = receivers.get((position + index) % receivers.size());
            channel.write(
                    new DatagramPacket(
                            Unpooled.wrappedBuffer(report),
                            ConnectionPool.socketAddress(receiver)));
        }
        position = (position + count) % receivers.size();
        channel.flush();
    }

    private void noteChanges() {
        Set<String> alive = new HashSet<>();
        beliefs.daemons().aliveReports().forEach(report -> alive.add(report.daemon().name()));
        for (String name : alive) {
            if (!aliveBefore.contains(name)) {
                log.write(DecisionKind.DAEMON_CHANGED, name, () -> "report received", "alive");
            }
        }
        for (String name : aliveBefore) {
            if (!alive.contains(name)) {
                log.write(DecisionKind.DAEMON_CHANGED, name, () -> "no report lately", "silent");
            }
        }
        aliveBefore = alive;
    }

    private List<DaemonReport.TargetReport> targetReports(Predicate<TargetState> included) {
        Instant now = clock.instant();
        List<DaemonReport.TargetReport> reports = new ArrayList<>();
        for (RegisteredTarget target : beliefs.targets().all()) {
            TargetState state = beliefs.targetStates().getOrCreate(target.incarnation());
            boolean silent = state.load().ownRequests() == 0 && state.weightVersion().isEmpty();
            if (!silent && included.test(state)) {
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
                accept(ReportMapper.decodeReport(bytes));
            } catch (GatewayException exception) {
                log.write(
                        DecisionKind.RECORD_IGNORED,
                        String.valueOf(packet.sender()),
                        exception::getMessage,
                        "report ignored");
            }
        }

        private void accept(DaemonReport report) {
            if (!beliefs.daemons().update(report)) {
                return;
            }
            report.targets().forEach(target -> accept(report, target));
        }

        private void accept(DaemonReport report, DaemonReport.TargetReport target) {
            Instant now = clock.instant();
            beliefs.targetStates()
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
                                    acceptChange(state, target, now);
                                }
                            });
        }

        private void acceptChange(
                TargetState state, DaemonReport.TargetReport target, Instant now) {
            boolean before = state.isChangingWeights(now);
            if (!target.changingWeights()) {
                state.setChangingWeightsUntil(now);
                return;
            }
            state.setChangingWeightsUntil(now.plus(CHANGE_LIFETIME));
            if (!before) {
                onChanging.accept(target.target());
            }
        }

        private static boolean isSameIncarnation(
                TargetState state, DaemonReport.TargetReport target) {
            return state.incarnation().startedAt().toEpochMilli() == target.startedAtMilliseconds();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            log.write(
                    DecisionKind.RECORD_IGNORED, "report-link", () -> "" + cause, "datagram lost");
        }
    }
}
