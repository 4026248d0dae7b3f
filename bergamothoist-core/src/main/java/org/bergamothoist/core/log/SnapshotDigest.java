package org.bergamothoist.core.log;

import java.util.Collection;
import java.util.UUID;
import java.util.function.Consumer;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.SharedStateSnapshot.ClaimState;
import org.bergamothoist.core.log.SharedStateSnapshot.LeaseState;
import org.bergamothoist.core.log.SharedStateSnapshot.LostEngine;
import org.bergamothoist.core.log.SharedStateSnapshot.RosterMember;
import org.bergamothoist.core.log.SharedStateSnapshot.Suspicion;
import org.bergamothoist.core.sheet.OrganisationState;
import org.bergamothoist.core.sheet.SheetDigest;
import org.bergamothoist.core.sheet.SheetVerdict;

/** Computes the digest of a snapshot over its canonical encoding. */
final class SnapshotDigest {

    private final CanonicalDigest digest = new CanonicalDigest();

    private SnapshotDigest() {}

    static String of(SharedStateSnapshot snapshot) {
        SnapshotDigest encoder = new SnapshotDigest();
        encoder.digest.add(snapshot.appliedOffset()).add(snapshot.logTime());
        encoder.addAll(snapshot.organisations(), encoder::addOrganisation);
        encoder.addAll(snapshot.verdicts(), encoder::addVerdict);
        encoder.addAll(snapshot.roster(), encoder::addMember);
        encoder.addAll(snapshot.claims(), encoder::addClaim);
        encoder.addAll(snapshot.leases(), encoder::addLease);
        encoder.addAll(snapshot.suspicions(), encoder::addSuspicion);
        return encoder.digest.hexadecimal();
    }

    private <T> void addAll(Collection<T> values, Consumer<T> addValue) {
        digest.add(values.size());
        values.forEach(addValue);
    }

    private void addOrganisation(OrganisationState state) {
        SheetDigest.add(digest, state.entry());
        digest.add(state.version()).add(state.office());
    }

    private void addVerdict(SheetVerdict verdict) {
        digest.add(verdict.offset())
                .add(verdict.firstOffset())
                .add(verdict.digest())
                .add(verdict.office())
                .add(verdict.operator())
                .add(verdict.accepted())
                .add(verdict.decidedAt());
        addAll(verdict.conflicts(), this::addConflict);
    }

    private void addConflict(SheetVerdict.Conflict conflict) {
        digest.add(conflict.organisation().value())
                .add(conflict.baseVersion())
                .add(conflict.currentVersion())
                .add(conflict.changedBy());
    }

    private void addMember(RosterMember member) {
        addDaemon(member.daemon());
        digest.add(member.virtualMachine())
                .add(member.peerAddress())
                .add(member.callerAddress())
                .add(member.dataCentre())
                .add(member.joinOffset())
                .add(member.smallestRosterSizeSinceJoin());
    }

    private void addClaim(ClaimState claim) {
        UUID request = claim.key().requestId().value();
        digest.add(claim.key().organisation().value())
                .add(request.getMostSignificantBits())
                .add(request.getLeastSignificantBits());
        addDaemon(claim.holder());
        digest.add(claim.offset()).add(claim.answered());
    }

    private void addLease(LeaseState lease) {
        digest.add(lease.resource());
        addDaemon(lease.holder());
        digest.add(lease.fencingNumber()).add(lease.expiresAt());
    }

    private void addSuspicion(Suspicion suspicion) {
        digest.add(suspicion.fingerprint().hexadecimal())
                .add(suspicion.losses())
                .add(suspicion.expiresAt());
        addAll(suspicion.engines(), this::addEngine);
    }

    private void addEngine(LostEngine engine) {
        digest.add(engine.target().value()).add(engine.incarnation().value());
    }

    private void addDaemon(DaemonId daemon) {
        digest.add(daemon.name()).add(daemon.incarnation());
    }
}
