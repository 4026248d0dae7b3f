package org.bergamothoist.gateway.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.util.List;
import java.util.Optional;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.feed.FeedRecord;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.gateway.GatewayException;
import org.bergamothoist.protocol.generated.GatewayMessages;

/** Encodes and decodes messages between daemons. */
final class ReportMapper {

    private ReportMapper() {}

    static byte[] encode(DaemonReport report) {
        GatewayMessages.Report.Builder builder =
                GatewayMessages.Report.newBuilder()
                        .setDaemon(report.daemon().name())
                        .setIncarnation(report.daemon().incarnation())
                        .setSequence(report.sequence())
                        .setCallerAddress(report.callerAddress())
                        .setPeerAddress(report.peerAddress())
                        .setDataCentre(report.dataCentre())
                        .setReady(report.ready())
                        .setStoreReachable(report.storeReachable())
                        .setOrderHolder(report.orderHolder())
                        .setConfigurationVersion(report.configurationVersion());
        report.targets().forEach(target -> builder.addTargets(encode(target)));
        return builder.build().toByteArray();
    }

    private static GatewayMessages.TargetReport encode(DaemonReport.TargetReport target) {
        return GatewayMessages.TargetReport.newBuilder()
                .setTarget(target.target())
                .setStartedAt(target.startedAtMilliseconds())
                .setRequests(target.requests())
                .setPrefillTokens(target.prefillTokens())
                .setWeightVersion(target.weightVersion())
                .setChangingWeights(target.changingWeights())
                .build();
    }

    /** Decodes a report; throws {@link GatewayException}. */
    static DaemonReport decodeReport(byte[] bytes) {
        GatewayMessages.Report report;
        try {
            report = GatewayMessages.Report.parseFrom(bytes);
        } catch (InvalidProtocolBufferException exception) {
            throw invalid(exception);
        }
        return new DaemonReport(
                new DaemonId(report.getDaemon(), report.getIncarnation()),
                report.getSequence(),
                report.getCallerAddress(),
                report.getPeerAddress(),
                report.getDataCentre(),
                report.getReady(),
                report.getStoreReachable(),
                report.getOrderHolder(),
                report.getConfigurationVersion(),
                report.getTargetsList().stream().map(ReportMapper::decode).toList());
    }

    private static DaemonReport.TargetReport decode(GatewayMessages.TargetReport target) {
        return new DaemonReport.TargetReport(
                target.getTarget(),
                target.getStartedAt(),
                target.getRequests(),
                target.getPrefillTokens(),
                target.getWeightVersion(),
                target.getChangingWeights());
    }

    /** Offsets after which a daemon lacks records. */
    record Question(long operatorOffset, long targetsOffset) {}

    static byte[] encode(Question question) {
        return GatewayMessages.RelayQuestion.newBuilder()
                .setOperatorOffset(question.operatorOffset())
                .setTargetsOffset(question.targetsOffset())
                .build()
                .toByteArray();
    }

    /** Decodes a question; throws {@link GatewayException}. */
    static Question decodeQuestion(byte[] bytes) {
        try {
            var question = GatewayMessages.RelayQuestion.parseFrom(bytes);
            return new Question(question.getOperatorOffset(), question.getTargetsOffset());
        } catch (InvalidProtocolBufferException exception) {
            throw invalid(exception);
        }
    }

    /** Records that a daemon lacks. */
    record Answer(List<FeedRecord> operatorRecords, List<FeedRecord> targetRecords) {}

    static byte[] encode(Answer answer) {
        var builder = GatewayMessages.RelayAnswer.newBuilder();
        answer.operatorRecords().forEach(entry -> builder.addOperatorRecords(encode(entry)));
        answer.targetRecords().forEach(entry -> builder.addTargetRecords(encode(entry)));
        return builder.build().toByteArray();
    }

    private static GatewayMessages.RelayedRecord encode(FeedRecord entry) {
        var builder =
                GatewayMessages.RelayedRecord.newBuilder()
                        .setKey(entry.key())
                        .setOffset(entry.offset());
        entry.value().ifPresent(value -> builder.setValue(ByteString.copyFrom(value)));
        return builder.build();
    }

    /** Decodes an answer; throws {@link GatewayException}. */
    static Answer decodeAnswer(byte[] bytes) {
        try {
            var answer = GatewayMessages.RelayAnswer.parseFrom(bytes);
            return new Answer(
                    answer.getOperatorRecordsList().stream().map(ReportMapper::decode).toList(),
                    answer.getTargetRecordsList().stream().map(ReportMapper::decode).toList());
        } catch (InvalidProtocolBufferException exception) {
            throw invalid(exception);
        }
    }

    private static FeedRecord decode(GatewayMessages.RelayedRecord entry) {
        Optional<byte[]> value =
                entry.hasValue() ? Optional.of(entry.getValue().toByteArray()) : Optional.empty();
        return new FeedRecord(entry.getKey(), entry.getOffset(), value);
    }

    private static GatewayException invalid(InvalidProtocolBufferException cause) {
        return new GatewayException(
                ErrorCode.INVALID_PEER_MESSAGE, "a daemon's message is malformed", cause);
    }
}
