package org.bergamothoist.measure.check;

import java.time.Instant;
import java.util.EnumSet;
import java.util.Set;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.request.Outcome;
import org.bergamothoist.core.request.StreamHandle;

/** One sending of a request to one daemon incarnation, until it ends. */
abstract class OpenSending {

    /** Codes with which a daemon refuses before it looks at its configuration. */
    private static final Set<ErrorCode> UNJUDGED =
            EnumSet.of(ErrorCode.CONFIGURATION_STALE, ErrorCode.NOT_READY, ErrorCode.STOPPING);

    private final RequestLife life;
    private final DaemonHost host;
    private final SimulatedProcess process;
    private final String daemon;
    private final RequestLedger.Sending ledgerEntry;
    private StreamHandle handle;
    private boolean accepted;
    private boolean ended;
    private long version;
    private Instant acceptedAt;

    OpenSending(RequestLife life, DaemonHost host) {
        this.life = life;
        this.host = host;
        this.process = host.process();
        this.daemon = host.self().toString();
        this.ledgerEntry = life.world().ledger().sent(life.organisation(), life.id(), daemon);
    }

    /** Hands the request to the daemon's process. */
    void connect() {
        host.opened(this);
        process.execute(this::accept);
    }

    private void accept() {
        World world = life.world();
        accepted = true;
        acceptedAt = world.time().instant();
        world.ledger().arrived(ledgerEntry, life.id(), host.clock());
        host.node()
                .organisations()
                .thenAccept(
                        states ->
                                version =
                                        world.sheetOracle()
                                                .observe(daemon, states, life.organisation()));
        handle = submit(host);
        handle.request(life.initialDemand());
    }

    /** Submits the request to the node. */
    abstract StreamHandle submit(DaemonHost target);

    boolean accepted() {
        return accepted;
    }

    boolean ended() {
        return ended;
    }

    String daemon() {
        return daemon;
    }

    DaemonHost host() {
        return host;
    }

    RequestLife life() {
        return life;
    }

    /** Takes a part of the answer and asks for the next one. */
    void tookPart() {
        life.world().time().schedule(life.pause(), () -> process.execute(() -> handle.request(1)));
    }

    void cancel() {
        process.execute(
                () -> {
                    if (handle != null) {
                        handle.cancel();
                    }
                });
    }

    /** Notes that nothing may follow. */
    void checkOpen(RequestId id) {
        life.world()
                .log()
                .check(
                        Property.ANSWER_OWNERSHIP,
                        !ended && id.equals(life.id()),
                        this + " got an event of " + id + (ended ? " after its outcome" : ""));
    }

    void outcome(RequestId id, Outcome outcome) {
        checkOpen(id);
        if (ended) {
            return;
        }
        ended = true;
        host.closed(this);
        World world = life.world();
        world.ledger().ended(life.organisation(), life.id(), ledgerEntry, outcome);
        ErrorCode code = code(outcome);
        if (code == null || !UNJUDGED.contains(code)) {
            world.sheetOracle().accepted(daemon, life.organisation(), version, acceptedAt);
        }
        String text = outcome.getClass().getSimpleName() + (code == null ? "" : " " + code);
        world.log().count("outcome." + text);
        world.log().note(this + " ends with " + text);
        life.ended(this, outcome);
    }

    static ErrorCode code(Outcome outcome) {
        if (outcome instanceof Outcome.NotRun notRun) {
            return notRun.code();
        }
        return outcome instanceof Outcome.Unknown unknown ? unknown.code() : null;
    }

    void connectionLost() {
        if (!ended) {
            ended = true;
            life.world().log().count("outcome.connection lost");
            life.lost(this);
        }
    }

    @Override
    public String toString() {
        return life.id() + " of " + life.organisation() + " at " + daemon;
    }
}
