package org.bergamothoist.gateway.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.feed.FeedRecord;
import org.bergamothoist.core.feed.LogPosition;
import org.bergamothoist.core.gossip.DaemonReport;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.quarantine.SuspectReport;
import org.bergamothoist.core.quarantine.TargetLoss;
import org.bergamothoist.gateway.GatewayException;
import org.bergamothoist.protocol.generated.GatewayMessages;

/** Encodes and decodes the Protocol Buffers messages between daemons. */
final class GossipMessageCodec {

    /** Age above which a message is malformed: longer than any process runs. */
    private static final Duration MAXIMUM_AGE = Duration.ofDays(36_500);

    private GossipMessageCodec() {}

    static byte[] encode(DaemonReport report, List<SuspectReport> suspects) {
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
                        .setConfigurationVersion(report.configurationVersion())
                        .setCapacity(report.capacity())
                        .setNextReportMilliseconds((int) report.nextReportWithin().toMillis())
                        .setCacheStoreReachable(report.cacheStoreReachable())
                        .setComplete(report.complete())
                        .setProcessorUtilisation(report.utilisation().processor())
                        .setLinkUtilisation(report.utilisation().link())
                        .setStoreReader(report.storeReader());
        report.targets().forEach(target -> builder.addTargets(encode(target)));
        report.demands().forEach(demand -> builder.addDemands(encode(demand)));
        suspects.forEach(suspect -> builder.addSuspects(encode(suspect)));
        return builder.build().toByteArray();
    }

    private static GatewayMessages.SuspectContent encode(SuspectReport suspect) {
        var builder =
                GatewayMessages.SuspectContent.newBuilder()
                        .setFingerprint(ByteString.copyFrom(suspect.key().toBytes()))
                        .setPart(suspect.key().isPart());
        for (SuspectReport.ReportedLoss loss : suspect.losses()) {
            builder.addLosses(
                    GatewayMessages.ContentLoss.newBuilder()
                            .setTarget(loss.target().target())
                            .setIncarnation(loss.target().incarnation())
                            .setRunMilliseconds(loss.runTime().toMillis())
                            .setAgeMilliseconds(loss.age().toMillis())
                            .setCleared(loss.cleared()));
        }
        return builder.build();
    }

    private static GatewayMessages.OrganisationDemand encode(
            DaemonReport.OrganisationDemand demand) {
        return GatewayMessages.OrganisationDemand.newBuilder()
                .setOrganisation(demand.organisation())
                .setUnitsPerSecond(demand.unitsPerSecond())
                .setUnitsSpent(demand.unitsSpent())
                .setKnownUnitsPerSecond(demand.knownUnitsPerSecond())
                .setDaemonsHeard(demand.daemonsHeard())
                .setDaemonsSharing(demand.daemonsSharing())
                .setFleetLevel(demand.fleetLevel())
                .build();
    }

    private static GatewayMessages.TargetReport encode(DaemonReport.TargetReport target) {
        var builder =
                GatewayMessages.TargetReport.newBuilder()
                        .setTarget(target.target())
                        .setStartedAt(target.startedAtMilliseconds())
                        .setRequests(target.requests())
                        .setPrefillTokens(target.prefillTokens())
                        .setWeightVersion(target.weightVersion())
                        .setChangingWeights(target.changingWeights())
                        .setMemoryTokens(target.memoryTokens())
                        .setUrgentStreams(target.urgentStreams());
        target.speed().ifPresent(speed -> builder.setSpeed(encode(speed)));
        return builder.build();
    }

    private static GatewayMessages.SpeedReport encode(DaemonReport.SpeedReport speed) {
        return GatewayMessages.SpeedReport.newBuilder()
                .setPrefillTokensPerMillisecond(speed.prefillTokensPerMillisecond())
                .setEventGapMilliseconds(speed.eventGapMilliseconds())
                .setSamples(speed.samples())
                .setAgeMilliseconds(speed.age().toMillis())
                .build();
    }

    /** A daemon's report and the suspect contents that it tells of. */
    record ReceivedReport(DaemonReport report, List<SuspectReport> suspects) {}

    /** Decodes a report; throws {@link GatewayException} if it is malformed. */
    static ReceivedReport decodeReport(byte[] bytes) {
        GatewayMessages.Report report;
        try {
            report = GatewayMessages.Report.parseFrom(bytes);
        } catch (InvalidProtocolBufferException exception) {
            throw malformed(exception);
        }
        return new ReceivedReport(
                decode(report),
                report.getSuspectsList().stream().map(GossipMessageCodec::decode).toList());
    }

    private static SuspectReport decode(GatewayMessages.SuspectContent suspect) {
        return new SuspectReport(
                decodeFingerprint(
                        suspect.getPart() ? Fingerprint.Subject.PART : Fingerprint.Subject.CONTENT,
                        suspect.getFingerprint().toByteArray()),
                suspect.getLossesList().stream().map(GossipMessageCodec::decode).toList());
    }

    private static Fingerprint decodeFingerprint(Fingerprint.Subject subject, byte[] bytes) {
        try {
            return Fingerprint.ofBytes(subject, bytes);
        } catch (IllegalArgumentException exception) {
            throw new GatewayException(
                    ErrorCode.INVALID_PEER_MESSAGE,
                    "malformed message from another daemon: " + exception.getMessage(),
                    exception);
        }
    }

    private static SuspectReport.ReportedLoss decode(GatewayMessages.ContentLoss loss) {
        return new SuspectReport.ReportedLoss(
                new TargetLoss(loss.getTarget(), loss.getIncarnation()),
                decodeAge(loss.getRunMilliseconds()),
                decodeAge(loss.getAgeMilliseconds()),
                loss.getCleared());
    }

    private static DaemonReport decode(GatewayMessages.Report report) {
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
                report.getCapacity(),
                Duration.ofMillis(report.getNextReportMilliseconds()),
                report.getCacheStoreReachable(),
                report.getComplete(),
                report.getTargetsList().stream().map(GossipMessageCodec::decode).toList(),
                report.getDemandsList().stream().map(GossipMessageCodec::decode).toList(),
                new DaemonReport.Utilisation(
                        decodeMeasurement(report.getProcessorUtilisation()),
                        decodeMeasurement(report.getLinkUtilisation())),
                report.getStoreReader());
    }

    private static DaemonReport.OrganisationDemand decode(
            GatewayMessages.OrganisationDemand demand) {
        return new DaemonReport.OrganisationDemand(
                demand.getOrganisation(),
                decodeMeasurement(demand.getUnitsPerSecond()),
                decodeMeasurement(demand.getUnitsSpent()),
                decodeMeasurement(demand.getKnownUnitsPerSecond()),
                demand.getDaemonsHeard(),
                demand.getDaemonsSharing(),
                decodeNumber(demand.getFleetLevel()));
    }

    /** Returns a measured value; throws {@link GatewayException} if it cannot be one. */
    private static double decodeMeasurement(double value) {
        if (value < 0) {
            throw outOfRange(value);
        }
        return decodeNumber(value);
    }

    /** Returns a finite number; throws {@link GatewayException} if it is not one. */
    private static double decodeNumber(double value) {
        if (!Double.isFinite(value)) {
            throw outOfRange(value);
        }
        return value;
    }

    private static GatewayException outOfRange(double value) {
        return new GatewayException(
                ErrorCode.INVALID_PEER_MESSAGE,
                "a measurement in a message from another daemon is out of range: " + value);
    }

    private static DaemonReport.TargetReport decode(GatewayMessages.TargetReport target) {
        return new DaemonReport.TargetReport(
                target.getTarget(),
                target.getStartedAt(),
                target.getRequests(),
                target.getPrefillTokens(),
                target.getWeightVersion(),
                target.getChangingWeights(),
                target.getMemoryTokens(),
                target.getUrgentStreams(),
                target.hasSpeed() ? Optional.of(decode(target.getSpeed())) : Optional.empty());
    }

    private static DaemonReport.SpeedReport decode(GatewayMessages.SpeedReport speed) {
        return new DaemonReport.SpeedReport(
                decodeMeasurement(speed.getPrefillTokensPerMillisecond()),
                decodeMeasurement(speed.getEventGapMilliseconds()),
                speed.getSamples(),
                decodeAge(speed.getAgeMilliseconds()));
    }

    /**
     * Request for the records after the given positions of the feeds.
     *
     * @param versionDatesKnown whether the response need not contain ages of weight versions
     */
    record RelayRequest(LogPosition operators, LogPosition targets, boolean versionDatesKnown) {}

    static byte[] encode(RelayRequest request) {
        return GatewayMessages.RelayQuestion.newBuilder()
                .setOperatorEra(request.operators().era())
                .setOperatorOffset(request.operators().offset())
                .setTargetsEra(request.targets().era())
                .setTargetsOffset(request.targets().offset())
                .setVersionDatesKnown(request.versionDatesKnown())
                .build()
                .toByteArray();
    }

    /** Decodes a relay request; throws {@link GatewayException} if it is malformed. */
    static RelayRequest decodeRelayRequest(byte[] bytes) {
        try {
            var request = GatewayMessages.RelayQuestion.parseFrom(bytes);
            return new RelayRequest(
                    new LogPosition(request.getOperatorEra(), request.getOperatorOffset()),
                    new LogPosition(request.getTargetsEra(), request.getTargetsOffset()),
                    request.getVersionDatesKnown());
        } catch (InvalidProtocolBufferException exception) {
            throw malformed(exception);
        }
    }

    /**
     * Longest time for which a version of a model's weights can have been requested.
     *
     * @param age time until the daemon that knows it responded
     */
    record WeightVersionAge(String model, int version, Duration age) {}

    /**
     * Records of a feed after the requested position, all of one era.
     *
     * @param age time since when records may be missing; empty if unknown
     * @param position position up to which the responding daemon knows all records; empty if
     *     unknown
     */
    record RelayedFeed(
            List<FeedRecord> records, Optional<Duration> age, Optional<LogPosition> position) {}

    /**
     * Records after the requested positions.
     *
     * @param weightVersions ages of versions that the responding daemon does not only assume
     * @param lapsesPossible whether registrations may have ended only because the store was
     *     unavailable
     */
    record RelayResponse(
            RelayedFeed operators,
            RelayedFeed targets,
            List<WeightVersionAge> weightVersions,
            boolean lapsesPossible) {}

    static byte[] encode(RelayResponse response) {
        var builder = GatewayMessages.RelayAnswer.newBuilder();
        RelayedFeed operators = response.operators();
        operators.records().forEach(record -> builder.addOperatorRecords(encode(record)));
        operators.age().ifPresent(age -> builder.setOperatorAgeMilliseconds(age.toMillis()));
        operators
                .position()
                .ifPresent(
                        position ->
                                builder.setOperatorEra(position.era())
                                        .setOperatorPosition(position.offset()));
        RelayedFeed targets = response.targets();
        targets.records().forEach(record -> builder.addTargetRecords(encode(record)));
        targets.age().ifPresent(age -> builder.setTargetsAgeMilliseconds(age.toMillis()));
        targets.position()
                .ifPresent(
                        position ->
                                builder.setTargetsEra(position.era())
                                        .setTargetsPosition(position.offset()));
        response.weightVersions().forEach(version -> builder.addWeightVersions(encode(version)));
        builder.setLapsesPossible(response.lapsesPossible());
        return builder.build().toByteArray();
    }

    private static GatewayMessages.WeightVersionAge encode(WeightVersionAge version) {
        return GatewayMessages.WeightVersionAge.newBuilder()
                .setModel(version.model())
                .setVersion(version.version())
                .setAgeMilliseconds(version.age().toMillis())
                .build();
    }

    private static GatewayMessages.RelayedRecord encode(FeedRecord record) {
        var builder =
                GatewayMessages.RelayedRecord.newBuilder()
                        .setKey(record.key())
                        .setOffset(record.offset());
        record.value().ifPresent(value -> builder.setValue(ByteString.copyFrom(value)));
        return builder.build();
    }

    /** Decodes a relay response; throws {@link GatewayException} if it is malformed. */
    static RelayResponse decodeRelayResponse(byte[] bytes) {
        try {
            var response = GatewayMessages.RelayAnswer.parseFrom(bytes);
            return new RelayResponse(
                    decodeOperators(response),
                    decodeTargets(response),
                    response.getWeightVersionsList().stream()
                            .map(GossipMessageCodec::decode)
                            .toList(),
                    response.getLapsesPossible());
        } catch (InvalidProtocolBufferException exception) {
            throw malformed(exception);
        }
    }

    private static RelayedFeed decodeOperators(GatewayMessages.RelayAnswer response) {
        return new RelayedFeed(
                response.getOperatorRecordsList().stream()
                        .map(record -> decode(record, response.getOperatorEra()))
                        .toList(),
                response.hasOperatorAgeMilliseconds()
                        ? Optional.of(decodeAge(response.getOperatorAgeMilliseconds()))
                        : Optional.empty(),
                response.hasOperatorPosition()
                        ? Optional.of(
                                new LogPosition(
                                        response.getOperatorEra(), response.getOperatorPosition()))
                        : Optional.empty());
    }

    private static RelayedFeed decodeTargets(GatewayMessages.RelayAnswer response) {
        return new RelayedFeed(
                response.getTargetRecordsList().stream()
                        .map(record -> decode(record, response.getTargetsEra()))
                        .toList(),
                response.hasTargetsAgeMilliseconds()
                        ? Optional.of(decodeAge(response.getTargetsAgeMilliseconds()))
                        : Optional.empty(),
                response.hasTargetsPosition()
                        ? Optional.of(
                                new LogPosition(
                                        response.getTargetsEra(), response.getTargetsPosition()))
                        : Optional.empty());
    }

    private static WeightVersionAge decode(GatewayMessages.WeightVersionAge version) {
        return new WeightVersionAge(
                version.getModel(), version.getVersion(), decodeAge(version.getAgeMilliseconds()));
    }

    private static Duration decodeAge(long milliseconds) {
        if (milliseconds < 0 || milliseconds > MAXIMUM_AGE.toMillis()) {
            throw new GatewayException(
                    ErrorCode.INVALID_PEER_MESSAGE,
                    "an age in a message from another daemon is out of range: "
                            + Long.toUnsignedString(milliseconds)
                            + " ms");
        }
        return Duration.ofMillis(milliseconds);
    }

    private static FeedRecord decode(GatewayMessages.RelayedRecord record, long era) {
        Optional<byte[]> value =
                record.hasValue() ? Optional.of(record.getValue().toByteArray()) : Optional.empty();
        return new FeedRecord(record.getKey(), new LogPosition(era, record.getOffset()), value);
    }

    private static GatewayException malformed(InvalidProtocolBufferException cause) {
        return new GatewayException(
                ErrorCode.INVALID_PEER_MESSAGE,
                "malformed message from another daemon: " + cause.getMessage(),
                cause);
    }
}
