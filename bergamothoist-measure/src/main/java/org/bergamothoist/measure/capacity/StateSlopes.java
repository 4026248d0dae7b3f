package org.bergamothoist.measure.capacity;

import org.bergamothoist.core.log.LogRecord;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.peer.PeerMessage;
import org.bergamothoist.protocol.LogRecordCodec;
import org.bergamothoist.protocol.PeerMessageCodec;

/** Measures the fold of the log and its snapshots. */
final class StateSlopes {

    private static final int TODAY_ORGANISATIONS = 8;
    private static final int FLEET_ORGANISATIONS = 6_100;
    private static final int TODAY_DAEMONS = 6;
    private static final int FLEET_DAEMONS = 420;
    private static final int CLAIMS = 100_000;
    private static final int CLAIMS_OF_BATCH = 20;

    private final Meter meter;

    StateSlopes(Meter meter) {
        this.meter = meter;
    }

    void measure() {
        heap();
        fold(TODAY_ORGANISATIONS, TODAY_DAEMONS);
        fold(FLEET_ORGANISATIONS, FLEET_DAEMONS);
        snapshots();
    }

    private void heap() {
        String organisations = FLEET_ORGANISATIONS + " organisations";
        meter.heap(
                "heap of an organisation",
                organisations,
                FLEET_ORGANISATIONS,
                () -> withOrganisations(FLEET_ORGANISATIONS).state);
        meter.heap("heap of a claim", CLAIMS + " claims", CLAIMS, () -> withClaims(CLAIMS).state);
        meter.heap(
                "heap of a roster member",
                FLEET_DAEMONS + " daemons",
                FLEET_DAEMONS,
                () -> withDaemons(FLEET_DAEMONS).state);
    }

    private void fold(int organisations, int daemons) {
        String size = organisations + " organisations, " + daemons + " daemons";
        Fold fold = withOrganisations(organisations);
        fold.joinAll(daemons);
        meter.time(
                "fold of a batch of " + CLAIMS_OF_BATCH + " claims",
                size,
                2_000,
                index -> fold.apply(fold.records.claims(index % daemons, CLAIMS_OF_BATCH)));
        meter.time(
                "fold of a sheet with one changed organisation",
                size,
                2_000,
                index -> fold.changeOrganisation(index % organisations));
        meter.time(
                "fold of a daemon's restart",
                size,
                500,
                index -> fold.apply(fold.records.join(index % daemons, 2 + fold.applied)));
    }

    private void snapshots() {
        Fold fold = withOrganisations(FLEET_ORGANISATIONS);
        fold.joinAll(FLEET_DAEMONS);
        for (int batch = 0; batch < CLAIMS / CLAIMS_OF_BATCH; batch++) {
            fold.apply(fold.records.claims(batch % FLEET_DAEMONS, CLAIMS_OF_BATCH));
        }
        String size = FLEET_ORGANISATIONS + " organisations, " + CLAIMS + " claims, 420 daemons";
        meter.time("snapshot of the state", size, 10, index -> fold.state.snapshot());
        meter.time(
                "digest of a snapshot",
                size,
                5,
                index -> SharedState.digest(fold.state.snapshot()));
        PeerMessage answer =
                new PeerMessage.SnapshotAnswer(
                        fold.state.snapshot(), java.time.Duration.ZERO, java.util.List.of());
        meter.add("encoded snapshot", size, new PeerMessageCodec().encode(answer).length, "bytes");
        LogRecordCodec codec = new LogRecordCodec();
        meter.add(
                "encoded claim",
                "batch of " + CLAIMS_OF_BATCH,
                codec.encode(fold.records.claims(1, CLAIMS_OF_BATCH)).length
                        / (double) CLAIMS_OF_BATCH,
                "bytes");
        meter.add(
                "encoded sheet of one organisation",
                "1 organisation",
                codec.encode(fold.records.sheet(1, 0, 0)).length,
                "bytes");
    }

    private static Fold withOrganisations(int count) {
        Fold fold = new Fold();
        for (int organisation = 0; organisation < count; organisation++) {
            fold.apply(fold.records.sheet(organisation, 0, 0));
        }
        return fold;
    }

    private static Fold withClaims(int count) {
        Fold fold = new Fold();
        for (int claim = 0; claim < count; claim += CLAIMS_OF_BATCH) {
            fold.apply(fold.records.claims(1, CLAIMS_OF_BATCH));
        }
        return fold;
    }

    private static Fold withDaemons(int count) {
        Fold fold = new Fold();
        fold.joinAll(count);
        return fold;
    }

    /** A state and the records that lead to it. */
    private static final class Fold {

        private final SharedState state = new SharedState();
        private final Records records = new Records();
        private int applied;

        void apply(LogRecord record) {
            state.apply(records.next(record));
            applied++;
        }

        void joinAll(int daemons) {
            for (int daemon = 0; daemon < daemons; daemon++) {
                apply(records.join(daemon, 1));
            }
        }

        void changeOrganisation(int organisation) {
            long version =
                    state.organisation(
                                    new org.bergamothoist.core.identity.OrganisationId(
                                            "organisation-" + organisation))
                            .orElseThrow()
                            .version();
            apply(records.sheet(organisation, version, applied));
        }
    }
}
