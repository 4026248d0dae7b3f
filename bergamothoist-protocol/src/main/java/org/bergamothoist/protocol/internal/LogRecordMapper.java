package org.bergamothoist.protocol.internal;

import java.util.List;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.protocol.generated.LogRecordMessages;
import org.bergamothoist.protocol.generated.StateMessages;

/** Converts log records. */
public final class LogRecordMapper {

    private LogRecordMapper() {}

    /** Returns the message of a record. */
    public static LogRecordMessages.LogRecord toMessage(LogRecord record) {
        LogRecordMessages.LogRecord.Builder builder = LogRecordMessages.LogRecord.newBuilder();
        if (record instanceof LogRecord.SheetSubmission submission) {
            builder.setSheetSubmission(sheetSubmission(submission));
        } else if (record instanceof LogRecord.ClaimBatch batch) {
            builder.setClaimBatch(claimBatch(batch));
        } else if (record instanceof LogRecord.DaemonJoined joined) {
            builder.setDaemonJoined(daemonJoined(joined));
        } else if (record instanceof LogRecord.DaemonLeft left) {
            builder.setDaemonLeft(daemonLeft(left));
        } else if (record instanceof LogRecord.LeaseRequest request) {
            builder.setLeaseRequest(leaseRequest(request));
        } else if (record instanceof LogRecord.LeaseRelease release) {
            builder.setLeaseRelease(leaseRelease(release));
        } else if (record instanceof LogRecord.LossReport report) {
            builder.setLossReport(toMessage(report));
        } else if (record instanceof LogRecord.QuarantineRelease release) {
            builder.setQuarantineRelease(quarantineRelease(release));
        } else if (record instanceof LogRecord.Checkpoint checkpoint) {
            builder.setCheckpoint(checkpoint(checkpoint));
        } else if (record instanceof LogRecord.Unknown unknown) {
            builder.setUnknown(LogRecordMessages.Unknown.newBuilder().setReason(unknown.reason()));
        } else {
            throw new IllegalArgumentException("no message for " + record.getClass());
        }
        return builder.build();
    }

    /**
     * Returns the record of a message.
     *
     * @throws RuntimeException if a field is not valid
     */
    public static LogRecord toRecord(LogRecordMessages.LogRecord message) {
        return switch (message.getKindCase()) {
            case SHEET_SUBMISSION -> sheetSubmission(message.getSheetSubmission());
            case CLAIM_BATCH -> claimBatch(message.getClaimBatch());
            case DAEMON_JOINED -> daemonJoined(message.getDaemonJoined());
            case DAEMON_LEFT -> daemonLeft(message.getDaemonLeft());
            case LEASE_REQUEST -> leaseRequest(message.getLeaseRequest());
            case LEASE_RELEASE -> leaseRelease(message.getLeaseRelease());
            case LOSS_REPORT -> toLossReport(message.getLossReport());
            case QUARANTINE_RELEASE -> quarantineRelease(message.getQuarantineRelease());
            case CHECKPOINT -> checkpoint(message.getCheckpoint());
            case UNKNOWN -> new LogRecord.Unknown(message.getUnknown().getReason());
            case KIND_NOT_SET -> new LogRecord.Unknown("record of an unknown kind");
        };
    }

    private static LogRecordMessages.SheetSubmission sheetSubmission(
            LogRecord.SheetSubmission submission) {
        LogRecordMessages.SheetSubmission.Builder builder =
                LogRecordMessages.SheetSubmission.newBuilder()
                        .setDigest(submission.digest())
                        .setOffice(submission.office())
                        .setOperator(submission.operator());
        submission.entries().forEach(entry -> builder.addEntries(SheetMapper.toMessage(entry)));
        return builder.build();
    }

    private static LogRecord sheetSubmission(LogRecordMessages.SheetSubmission message) {
        return new LogRecord.SheetSubmission(
                message.getDigest(),
                message.getOffice(),
                message.getOperator(),
                message.getEntriesList().stream().map(SheetMapper::toEntry).toList());
    }

    private static LogRecordMessages.ClaimBatch claimBatch(LogRecord.ClaimBatch batch) {
        LogRecordMessages.ClaimBatch.Builder builder =
                LogRecordMessages.ClaimBatch.newBuilder()
                        .setBatchId(StateMapper.toBytes(batch.batchId()))
                        .setHolder(StateMapper.toMessage(batch.holder()));
        batch.claims().forEach(key -> builder.addClaims(StateMapper.toMessage(key)));
        batch.releases().forEach(key -> builder.addReleases(StateMapper.toMessage(key)));
        for (LogRecord.ClaimOutcome outcome : batch.outcomes()) {
            builder.addOutcomes(
                    LogRecordMessages.ClaimOutcome.newBuilder()
                            .setKey(StateMapper.toMessage(outcome.key()))
                            .setAnswered(outcome.answered()));
        }
        return builder.build();
    }

    private static LogRecord claimBatch(LogRecordMessages.ClaimBatch message) {
        List<LogRecord.ClaimOutcome> outcomes =
                message.getOutcomesList().stream()
                        .map(
                                outcome ->
                                        new LogRecord.ClaimOutcome(
                                                StateMapper.toClaimKey(outcome.getKey()),
                                                outcome.getAnswered()))
                        .toList();
        return new LogRecord.ClaimBatch(
                StateMapper.toUuid(message.getBatchId()),
                StateMapper.toDaemonId(message.getHolder()),
                toClaimKeys(message.getClaimsList()),
                toClaimKeys(message.getReleasesList()),
                outcomes);
    }

    private static List<LogRecord.ClaimKey> toClaimKeys(List<StateMessages.ClaimKey> messages) {
        return messages.stream().map(StateMapper::toClaimKey).toList();
    }

    private static LogRecordMessages.DaemonJoined daemonJoined(LogRecord.DaemonJoined joined) {
        return LogRecordMessages.DaemonJoined.newBuilder()
                .setDaemon(StateMapper.toMessage(joined.daemon()))
                .setVirtualMachine(joined.virtualMachine())
                .setPeerAddress(joined.peerAddress())
                .setCallerAddress(joined.callerAddress())
                .setDataCentre(joined.dataCentre())
                .build();
    }

    private static LogRecord daemonJoined(LogRecordMessages.DaemonJoined message) {
        return new LogRecord.DaemonJoined(
                StateMapper.toDaemonId(message.getDaemon()),
                message.getVirtualMachine(),
                message.getPeerAddress(),
                message.getCallerAddress(),
                message.getDataCentre());
    }

    private static LogRecordMessages.DaemonLeft daemonLeft(LogRecord.DaemonLeft left) {
        return LogRecordMessages.DaemonLeft.newBuilder()
                .setDaemon(StateMapper.toMessage(left.daemon()))
                .setReportedBy(StateMapper.toMessage(left.reportedBy()))
                .build();
    }

    private static LogRecord daemonLeft(LogRecordMessages.DaemonLeft message) {
        return new LogRecord.DaemonLeft(
                StateMapper.toDaemonId(message.getDaemon()),
                StateMapper.toDaemonId(message.getReportedBy()));
    }

    private static LogRecordMessages.LeaseRequest leaseRequest(LogRecord.LeaseRequest request) {
        return LogRecordMessages.LeaseRequest.newBuilder()
                .setResource(request.resource())
                .setHolder(StateMapper.toMessage(request.holder()))
                .setDuration(StateMapper.toMessage(request.duration()))
                .build();
    }

    private static LogRecord leaseRequest(LogRecordMessages.LeaseRequest message) {
        return new LogRecord.LeaseRequest(
                message.getResource(),
                StateMapper.toDaemonId(message.getHolder()),
                StateMapper.toDuration(message.getDuration()));
    }

    private static LogRecordMessages.LeaseRelease leaseRelease(LogRecord.LeaseRelease release) {
        return LogRecordMessages.LeaseRelease.newBuilder()
                .setResource(release.resource())
                .setHolder(StateMapper.toMessage(release.holder()))
                .setFencingNumber(release.fencingNumber())
                .build();
    }

    private static LogRecord leaseRelease(LogRecordMessages.LeaseRelease message) {
        return new LogRecord.LeaseRelease(
                message.getResource(),
                StateMapper.toDaemonId(message.getHolder()),
                message.getFencingNumber());
    }

    static LogRecordMessages.LossReport toMessage(LogRecord.LossReport report) {
        LogRecordMessages.LossReport.Builder builder =
                LogRecordMessages.LossReport.newBuilder()
                        .setTarget(report.target().value())
                        .setIncarnation(report.incarnation().value())
                        .setReportedBy(StateMapper.toMessage(report.reportedBy()));
        report.suspects()
                .forEach(fingerprint -> builder.addSuspects(StateMapper.toBytes(fingerprint)));
        return builder.build();
    }

    static LogRecord.LossReport toLossReport(LogRecordMessages.LossReport message) {
        return new LogRecord.LossReport(
                new TargetId(message.getTarget()),
                new EngineIncarnation(message.getIncarnation()),
                StateMapper.toDaemonId(message.getReportedBy()),
                message.getSuspectsList().stream().map(StateMapper::toFingerprint).toList());
    }

    private static LogRecordMessages.QuarantineRelease quarantineRelease(
            LogRecord.QuarantineRelease release) {
        LogRecordMessages.QuarantineRelease.Builder builder =
                LogRecordMessages.QuarantineRelease.newBuilder().setReason(release.reason());
        release.fingerprints()
                .forEach(fingerprint -> builder.addFingerprints(StateMapper.toBytes(fingerprint)));
        return builder.build();
    }

    private static LogRecord quarantineRelease(LogRecordMessages.QuarantineRelease message) {
        return new LogRecord.QuarantineRelease(
                message.getFingerprintsList().stream().map(StateMapper::toFingerprint).toList(),
                message.getReason());
    }

    private static LogRecordMessages.Checkpoint checkpoint(LogRecord.Checkpoint checkpoint) {
        return LogRecordMessages.Checkpoint.newBuilder()
                .setWriter(StateMapper.toMessage(checkpoint.writer()))
                .setCoveredOffset(checkpoint.coveredOffset())
                .setDigest(checkpoint.digest())
                .setState(StateMapper.toMessage(checkpoint.state()))
                .build();
    }

    private static LogRecord checkpoint(LogRecordMessages.Checkpoint message) {
        return new LogRecord.Checkpoint(
                StateMapper.toDaemonId(message.getWriter()),
                message.getCoveredOffset(),
                message.getDigest(),
                StateMapper.toSnapshot(message.getState()));
    }
}
