package org.bergamothoist.protocol.internal;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.core.platform.LogEntry;
import org.bergamothoist.protocol.ProtocolException;
import org.bergamothoist.protocol.UnsupportedMessageException;
import org.bergamothoist.protocol.generated.PeerMessages;
import org.bergamothoist.protocol.generated.StateMessages;

/** Converts peer messages. */
public final class PeerMessageMapper {

    private static final long MAXIMUM_AGE_MILLISECONDS = Duration.ofDays(36_500).toMillis();
    private static final long NANOSECONDS_BELOW_A_MILLISECOND = 999_999;

    private PeerMessageMapper() {}

    /** Returns the protobuf form of a message. */
    public static PeerMessages.PeerMessage toMessage(PeerMessage message) {
        PeerMessages.PeerMessage.Builder builder = PeerMessages.PeerMessage.newBuilder();
        if (message instanceof PeerMessage.Heartbeat heartbeat) {
            builder.setHeartbeat(heartbeat(heartbeat));
        } else if (message instanceof PeerMessage.LogTailRelay relay) {
            builder.setLogTailRelay(logTailRelay(relay));
        } else if (message instanceof PeerMessage.SnapshotRequest) {
            builder.setSnapshotRequest(PeerMessages.SnapshotRequest.getDefaultInstance());
        } else if (message instanceof PeerMessage.SnapshotAnswer answer) {
            builder.setSnapshotAnswer(snapshotAnswer(answer));
        } else if (message instanceof PeerMessage.HotPrefixes hot) {
            PeerMessages.HotPrefixes.Builder prefixes = PeerMessages.HotPrefixes.newBuilder();
            hot.prefixes().forEach(prefix -> prefixes.addPrefixes(hotPrefix(prefix)));
            builder.setHotPrefixes(prefixes);
        } else if (message instanceof PeerMessage.LossNotice notice) {
            builder.setLossNotice(
                    PeerMessages.LossNotice.newBuilder()
                            .setNoticeId(notice.noticeId())
                            .setReport(LogRecordMapper.toMessage(notice.report())));
        } else if (message instanceof PeerMessage.LossNoticeAck ack) {
            builder.setLossNoticeAck(
                    PeerMessages.LossNoticeAck.newBuilder().setNoticeId(ack.noticeId()));
        } else {
            throw new IllegalArgumentException("no message for " + message.getClass());
        }
        return builder.build();
    }

    /**
     * Returns the message of a protobuf form.
     *
     * @throws RuntimeException if a field is not valid
     */
    public static PeerMessage toPeerMessage(PeerMessages.PeerMessage message) {
        return switch (message.getKindCase()) {
            case HEARTBEAT -> heartbeat(message.getHeartbeat());
            case LOG_TAIL_RELAY -> logTailRelay(message.getLogTailRelay());
            case SNAPSHOT_REQUEST -> new PeerMessage.SnapshotRequest();
            case SNAPSHOT_ANSWER -> snapshotAnswer(message.getSnapshotAnswer());
            case HOT_PREFIXES ->
                    new PeerMessage.HotPrefixes(
                            message.getHotPrefixes().getPrefixesList().stream()
                                    .map(PeerMessageMapper::hotPrefix)
                                    .toList());
            case LOSS_NOTICE ->
                    new PeerMessage.LossNotice(
                            message.getLossNotice().getNoticeId(),
                            LogRecordMapper.toLossReport(message.getLossNotice().getReport()));
            case LOSS_NOTICE_ACK ->
                    new PeerMessage.LossNoticeAck(message.getLossNoticeAck().getNoticeId());
            case KIND_NOT_SET ->
                    throw new UnsupportedMessageException("peer message of an unknown kind");
        };
    }

    private static PeerMessages.Heartbeat heartbeat(PeerMessage.Heartbeat heartbeat) {
        PeerMessages.Heartbeat.Builder builder =
                PeerMessages.Heartbeat.newBuilder()
                        .setStatus(
                                PeerMessages.DaemonStatus.forNumber(heartbeat.status().ordinal()))
                        .setSequence(heartbeat.sequence())
                        .setAge(roundedUp(heartbeat.age()))
                        .setAppliedOffset(heartbeat.appliedOffset())
                        .setConfirmedAge(heartbeat.confirmedAge().toMillis())
                        .setComplete(heartbeat.complete())
                        .setOthers(RosterDigestMapper.toMessage(heartbeat.others()));
        heartbeat
                .demand()
                .forEach(
                        (organisation, requests) ->
                                builder.addDemand(
                                        PeerMessages.Demand.newBuilder()
                                                .setOrganisation(organisation.value())
                                                .setRequestsPerSecond(requests)));
        heartbeat.leavingTargets().forEach(target -> builder.addLeavingTargets(target.value()));
        heartbeat
                .outstanding()
                .forEach(
                        (target, outstanding) ->
                                builder.addOutstanding(
                                        PeerMessages.Outstanding.newBuilder()
                                                .setTarget(target.value())
                                                .setPromptTokens(outstanding.promptTokens())
                                                .setStreams(outstanding.streams())));
        return builder.build();
    }

    private static PeerMessage heartbeat(PeerMessages.Heartbeat message) {
        Map<OrganisationId, Integer> demand = new HashMap<>();
        for (PeerMessages.Demand entry : message.getDemandList()) {
            demand.put(
                    new OrganisationId(entry.getOrganisation()),
                    notNegative(entry.getRequestsPerSecond()));
        }
        Map<TargetId, PeerMessage.Outstanding> outstanding = new HashMap<>();
        for (PeerMessages.Outstanding entry : message.getOutstandingList()) {
            outstanding.put(
                    new TargetId(entry.getTarget()),
                    new PeerMessage.Outstanding(
                            notNegative(entry.getPromptTokens()), notNegative(entry.getStreams())));
        }
        List<TargetId> leaving =
                message.getLeavingTargetsList().stream().map(TargetId::new).toList();
        return new PeerMessage.Heartbeat(
                status(message.getStatus()),
                message.getSequence(),
                Duration.ofMillis(notNegative(message.getAge())),
                message.getAppliedOffset(),
                Duration.ofMillis(notNegative(message.getConfirmedAge())),
                demand,
                leaving,
                outstanding,
                message.getComplete(),
                RosterDigestMapper.toDigest(message.getOthers()));
    }

    private static PeerMessage.DaemonStatus status(PeerMessages.DaemonStatus status) {
        return switch (status) {
            case STARTING -> PeerMessage.DaemonStatus.STARTING;
            case SERVING -> PeerMessage.DaemonStatus.SERVING;
            case LEAVING -> PeerMessage.DaemonStatus.LEAVING;
            case UNRECOGNIZED -> throw new ProtocolException("unknown status of a daemon");
        };
    }

    private static PeerMessages.LogTailRelay logTailRelay(PeerMessage.LogTailRelay relay) {
        PeerMessages.LogTailRelay.Builder builder =
                PeerMessages.LogTailRelay.newBuilder()
                        .setEndOffset(relay.endOffset())
                        .setConfirmedAge(StateMapper.toMessage(relay.confirmedAge()));
        for (LogEntry entry : relay.entries()) {
            if (entry.record() instanceof LogRecord.Unknown) {
                break;
            }
            builder.addEntries(
                    PeerMessages.LogEntry.newBuilder()
                            .setOffset(entry.offset())
                            .setAppendTime(StateMapper.toMessage(entry.appendTime()))
                            .setRecord(LogRecordMapper.toMessage(entry.record())));
        }
        return builder.build();
    }

    private static PeerMessage logTailRelay(PeerMessages.LogTailRelay message) {
        List<LogEntry> entries = new ArrayList<>();
        for (PeerMessages.LogEntry entry : message.getEntriesList()) {
            LogRecord record = LogRecordMapper.toRecord(entry.getRecord());
            if (record instanceof LogRecord.Unknown) {
                break;
            }
            entries.add(
                    new LogEntry(
                            entry.getOffset(),
                            StateMapper.toInstant(entry.getAppendTime()),
                            record));
        }
        return new PeerMessage.LogTailRelay(
                entries, message.getEndOffset(), age(message.getConfirmedAge()));
    }

    private static PeerMessages.SnapshotAnswer snapshotAnswer(PeerMessage.SnapshotAnswer answer) {
        PeerMessages.SnapshotAnswer.Builder builder =
                PeerMessages.SnapshotAnswer.newBuilder()
                        .setState(StateMapper.toMessage(answer.state()))
                        .setConfirmedAge(StateMapper.toMessage(answer.confirmedAge()));
        answer.hot().forEach(prefix -> builder.addHot(hotPrefix(prefix)));
        return builder.build();
    }

    private static PeerMessage snapshotAnswer(PeerMessages.SnapshotAnswer message) {
        return new PeerMessage.SnapshotAnswer(
                StateMapper.toSnapshot(message.getState()),
                age(message.getConfirmedAge()),
                message.getHotList().stream().map(PeerMessageMapper::hotPrefix).toList());
    }

    private static PeerMessages.HotPrefix hotPrefix(PeerMessage.HotPrefix prefix) {
        return PeerMessages.HotPrefix.newBuilder()
                .setTarget(prefix.target().value())
                .setIncarnation(prefix.incarnation().value())
                .addAllBlockHashes(prefix.blockHashes())
                .build();
    }

    private static PeerMessage.HotPrefix hotPrefix(PeerMessages.HotPrefix message) {
        return new PeerMessage.HotPrefix(
                new TargetId(message.getTarget()),
                new EngineIncarnation(message.getIncarnation()),
                message.getBlockHashesList());
    }

    private static Duration age(StateMessages.Span message) {
        Duration age = StateMapper.toDuration(message);
        if (age.isNegative()) {
            throw new ProtocolException("negative age");
        }
        return age;
    }

    static long roundedUp(Duration age) {
        return age.plusNanos(NANOSECONDS_BELOW_A_MILLISECOND).toMillis();
    }

    private static int notNegative(int value) {
        if (value < 0) {
            throw new ProtocolException("negative number");
        }
        return value;
    }

    /** Also bounds the value, so that sums of ages cannot overflow. */
    static long notNegative(long value) {
        if (value < 0 || value > MAXIMUM_AGE_MILLISECONDS) {
            throw new ProtocolException("age out of range");
        }
        return value;
    }
}
