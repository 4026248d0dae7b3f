package org.bergamothoist.protocol.internal;

import com.google.protobuf.ByteString;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.UUID;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.log.LogRecord.ClaimKey;
import org.bergamothoist.core.log.SharedStateSnapshot;
import org.bergamothoist.core.log.SharedStateSnapshot.ClaimState;
import org.bergamothoist.core.log.SharedStateSnapshot.LeaseState;
import org.bergamothoist.core.log.SharedStateSnapshot.LostEngine;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.log.SharedStateSnapshot.Suspicion;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.sheet.SheetVerdict;
import org.bergamothoist.protocol.generated.StateMessages;

/** Converts the shared state and the identifiers in it. */
final class StateMapper {

    private static final int UUID_BYTES = 16;

    private StateMapper() {}

    static StateMessages.SharedStateSnapshot toMessage(SharedStateSnapshot state) {
        StateMessages.SharedStateSnapshot.Builder builder =
                StateMessages.SharedStateSnapshot.newBuilder()
                        .setAppliedOffset(state.appliedOffset())
                        .setLogTime(toMessage(state.logTime()));
        state.organisations()
                .forEach(
                        organisation ->
                                builder.addOrganisations(SheetMapper.toMessage(organisation)));
        state.verdicts().forEach(verdict -> builder.addVerdicts(toMessage(verdict)));
        state.roster().forEach(member -> builder.addRoster(toMessage(member)));
        state.claims().forEach(claim -> builder.addClaims(toMessage(claim)));
        state.leases().forEach(lease -> builder.addLeases(toMessage(lease)));
        state.suspicions().forEach(suspicion -> builder.addSuspicions(toMessage(suspicion)));
        return builder.build();
    }

    static SharedStateSnapshot toSnapshot(StateMessages.SharedStateSnapshot message) {
        return new SharedStateSnapshot(
                message.getAppliedOffset(),
                toInstant(message.getLogTime()),
                message.getOrganisationsList().stream()
                        .map(SheetMapper::toOrganisationState)
                        .toList(),
                message.getVerdictsList().stream().map(StateMapper::toVerdict).toList(),
                message.getRosterList().stream().map(StateMapper::toRosterMember).toList(),
                message.getClaimsList().stream().map(StateMapper::toClaimState).toList(),
                message.getLeasesList().stream().map(StateMapper::toLeaseState).toList(),
                message.getSuspicionsList().stream().map(StateMapper::toSuspicion).toList());
    }

    private static StateMessages.SheetVerdict toMessage(SheetVerdict verdict) {
        StateMessages.SheetVerdict.Builder builder =
                StateMessages.SheetVerdict.newBuilder()
                        .setOffset(verdict.offset())
                        .setFirstOffset(verdict.firstOffset())
                        .setDigest(verdict.digest())
                        .setOffice(verdict.office())
                        .setOperator(verdict.operator())
                        .setAccepted(verdict.accepted())
                        .setDecidedAt(toMessage(verdict.decidedAt()));
        for (SheetVerdict.Conflict conflict : verdict.conflicts()) {
            builder.addConflicts(
                    StateMessages.Conflict.newBuilder()
                            .setOrganisation(conflict.organisation().value())
                            .setBaseVersion(conflict.baseVersion())
                            .setCurrentVersion(conflict.currentVersion())
                            .setChangedBy(conflict.changedBy()));
        }
        return builder.build();
    }

    private static SheetVerdict toVerdict(StateMessages.SheetVerdict message) {
        List<SheetVerdict.Conflict> conflicts =
                message.getConflictsList().stream()
                        .map(
                                conflict ->
                                        new SheetVerdict.Conflict(
                                                new OrganisationId(conflict.getOrganisation()),
                                                conflict.getBaseVersion(),
                                                conflict.getCurrentVersion(),
                                                conflict.getChangedBy()))
                        .toList();
        return new SheetVerdict(
                message.getOffset(),
                message.getFirstOffset(),
                message.getDigest(),
                message.getOffice(),
                message.getOperator(),
                message.getAccepted(),
                toInstant(message.getDecidedAt()),
                conflicts);
    }

    private static StateMessages.RosterMember toMessage(RosterMember member) {
        return StateMessages.RosterMember.newBuilder()
                .setDaemon(toMessage(member.daemon()))
                .setVirtualMachine(member.virtualMachine())
                .setPeerAddress(member.peerAddress())
                .setCallerAddress(member.callerAddress())
                .setDataCentre(member.dataCentre())
                .setJoinOffset(member.joinOffset())
                .setSmallestRosterSince(member.smallestRosterSizeSinceJoin())
                .build();
    }

    private static RosterMember toRosterMember(StateMessages.RosterMember message) {
        return new RosterMember(
                toDaemonId(message.getDaemon()),
                message.getVirtualMachine(),
                message.getPeerAddress(),
                message.getCallerAddress(),
                message.getDataCentre(),
                message.getJoinOffset(),
                message.getSmallestRosterSince());
    }

    private static StateMessages.ClaimState toMessage(ClaimState claim) {
        return StateMessages.ClaimState.newBuilder()
                .setKey(toMessage(claim.key()))
                .setHolder(toMessage(claim.holder()))
                .setOffset(claim.offset())
                .setAnswered(claim.answered())
                .build();
    }

    private static ClaimState toClaimState(StateMessages.ClaimState message) {
        return new ClaimState(
                toClaimKey(message.getKey()),
                toDaemonId(message.getHolder()),
                message.getOffset(),
                message.getAnswered());
    }

    private static StateMessages.LeaseState toMessage(LeaseState lease) {
        return StateMessages.LeaseState.newBuilder()
                .setResource(lease.resource())
                .setHolder(toMessage(lease.holder()))
                .setFencingNumber(lease.fencingNumber())
                .setExpiresAt(toMessage(lease.expiresAt()))
                .build();
    }

    private static LeaseState toLeaseState(StateMessages.LeaseState message) {
        return new LeaseState(
                message.getResource(),
                toDaemonId(message.getHolder()),
                message.getFencingNumber(),
                toInstant(message.getExpiresAt()));
    }

    private static StateMessages.Suspicion toMessage(Suspicion suspicion) {
        StateMessages.Suspicion.Builder builder =
                StateMessages.Suspicion.newBuilder()
                        .setFingerprint(toBytes(suspicion.fingerprint()))
                        .setLosses(suspicion.losses())
                        .setExpiresAt(toMessage(suspicion.expiresAt()));
        suspicion.engines().forEach(engine -> builder.addEngines(toMessage(engine)));
        return builder.build();
    }

    private static StateMessages.LostEngine toMessage(LostEngine engine) {
        return StateMessages.LostEngine.newBuilder()
                .setTarget(engine.target().value())
                .setIncarnation(engine.incarnation().value())
                .build();
    }

    private static LostEngine toLostEngine(StateMessages.LostEngine message) {
        return new LostEngine(
                new TargetId(message.getTarget()), new EngineIncarnation(message.getIncarnation()));
    }

    private static Suspicion toSuspicion(StateMessages.Suspicion message) {
        return new Suspicion(
                toFingerprint(message.getFingerprint()),
                message.getLosses(),
                toInstant(message.getExpiresAt()),
                message.getEnginesList().stream().map(StateMapper::toLostEngine).toList());
    }

    static StateMessages.ClaimKey toMessage(ClaimKey key) {
        return StateMessages.ClaimKey.newBuilder()
                .setOrganisation(key.organisation().value())
                .setRequestId(toBytes(key.requestId().value()))
                .build();
    }

    static ClaimKey toClaimKey(StateMessages.ClaimKey message) {
        return new ClaimKey(
                new OrganisationId(message.getOrganisation()),
                new RequestId(toUuid(message.getRequestId())));
    }

    static StateMessages.Daemon toMessage(DaemonId daemon) {
        return StateMessages.Daemon.newBuilder()
                .setName(daemon.name())
                .setIncarnation(daemon.incarnation())
                .build();
    }

    static DaemonId toDaemonId(StateMessages.Daemon message) {
        return new DaemonId(message.getName(), message.getIncarnation());
    }

    static StateMessages.Time toMessage(Instant instant) {
        return StateMessages.Time.newBuilder()
                .setSeconds(instant.getEpochSecond())
                .setNanoseconds(instant.getNano())
                .build();
    }

    static Instant toInstant(StateMessages.Time message) {
        return Instant.ofEpochSecond(message.getSeconds(), message.getNanoseconds());
    }

    static StateMessages.Span toMessage(Duration duration) {
        return StateMessages.Span.newBuilder()
                .setSeconds(duration.getSeconds())
                .setNanoseconds(duration.getNano())
                .build();
    }

    static Duration toDuration(StateMessages.Span message) {
        return Duration.ofSeconds(message.getSeconds(), message.getNanoseconds());
    }

    static ByteString toBytes(UUID uuid) {
        ByteBuffer buffer = ByteBuffer.allocate(UUID_BYTES);
        buffer.putLong(uuid.getMostSignificantBits()).putLong(uuid.getLeastSignificantBits());
        return ByteString.copyFrom(buffer.flip());
    }

    static UUID toUuid(ByteString bytes) {
        if (bytes.size() != UUID_BYTES) {
            throw new IllegalArgumentException("a UUID has 16 bytes");
        }
        ByteBuffer buffer = bytes.asReadOnlyByteBuffer();
        return new UUID(buffer.getLong(), buffer.getLong());
    }

    static ByteString toBytes(Fingerprint fingerprint) {
        return ByteString.copyFrom(HexFormat.of().parseHex(fingerprint.hexadecimal()));
    }

    static Fingerprint toFingerprint(ByteString bytes) {
        return new Fingerprint(HexFormat.of().formatHex(bytes.toByteArray()));
    }
}
