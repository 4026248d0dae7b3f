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

/** Computes the digest of a snapshot. */
final class SnapshotDigest {

    private final CanonicalDigest digest = new CanonicalDigest();

    private SnapshotDigest() {}

    static String of(SharedStateSnapshot snapshot) {
        SnapshotDigest writer = new SnapshotDigest();
        writer.digest.add(snapshot.appliedOffset()).add(snapshot.logTime());
        writer.all(snapshot.organisations(), writer::organisation);
        writer.all(snapshot.verdicts(), writer::verdict);
        writer.all(snapshot.roster(), writer::member);
        writer.all(snapshot.claims(), writer::claim);
        writer.all(snapshot.leases(), writer::lease);
        writer.all(snapshot.suspicions(), writer::suspicion);
        return writer.digest.hexadecimal();
    }

    private <T> void all(Collection<T> values, Consumer<T> writer) {
        digest.add(values.size());
        values.forEach(writer);
    }

    private void organisation(OrganisationState state) {
        SheetDigest.add(digest, state.entry());
        digest.add(state.version()).add(state.office());
    }

    private void verdict(SheetVerdict verdict) {
        digest.add(verdict.offset())
                .add(verdict.firstOffset())
                .add(verdict.digest())
                .add(verdict.office())
                .add(verdict.operator())
                .add(verdict.accepted())
                .add(verdict.decidedAt());
        all(verdict.conflicts(), this::conflict);
    }

    private void conflict(SheetVerdict.Conflict conflict) {
        digest.add(conflict.organisation().value())
                .add(conflict.baseVersion())
                .add(conflict.currentVersion())
                .add(conflict.changedBy());
    }

    private void member(RosterMember member) {
        daemon(member.daemon());
        digest.add(member.virtualMachine())
                .add(member.peerAddress())
                .add(member.callerAddress())
                .add(member.dataCentre())
                .add(member.joinOffset())
                .add(member.smallestRosterSizeSinceJoin());
    }

    private void claim(ClaimState claim) {
        UUID request = claim.key().requestId().value();
        digest.add(claim.key().organisation().value())
                .add(request.getMostSignificantBits())
                .add(request.getLeastSignificantBits());
        daemon(claim.holder());
        digest.add(claim.offset()).add(claim.answered());
    }

    private void lease(LeaseState lease) {
        digest.add(lease.resource());
        daemon(lease.holder());
        digest.add(lease.fencingNumber()).add(lease.expiresAt());
    }

    private void suspicion(Suspicion suspicion) {
        digest.add(suspicion.fingerprint().hexadecimal())
                .add(suspicion.losses())
                .add(suspicion.expiresAt());
        all(suspicion.engines(), this::engine);
    }

    private void engine(LostEngine engine) {
        digest.add(engine.target().value()).add(engine.incarnation().value());
    }

    private void daemon(DaemonId daemon) {
        digest.add(daemon.name()).add(daemon.incarnation());
    }
}
