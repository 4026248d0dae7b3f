package org.bergamothoist.measure.check;

import java.time.Duration;
import java.util.Optional;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.request.Outcome;

/** A caller's request with all its sendings, which have the same identifier. */
abstract class RequestLife {

    private static final int MAXIMUM_SENDINGS = 6;
    private static final int MAXIMUM_CONNECTS = 150;
    private static final Duration CONNECT_AGAIN = Duration.ofMillis(20);
    private static final int FAST_DEMAND = 100;

    private final World world;
    private final CallerProgram program;
    private final OrganisationId organisation;
    private final Step.Behaviour behaviour;
    private final RequestId id;
    private final boolean idempotent;
    private int sendings;
    private int connects;
    private boolean settled;
    private Outcome firstOutcome;

    RequestLife(
            World world,
            int program,
            int organisation,
            Step.Behaviour behaviour,
            boolean idempotent) {
        this.world = world;
        this.program = world.program(program);
        this.organisation = World.ORGANISATIONS.get(organisation);
        this.behaviour = behaviour;
        this.idempotent = idempotent;
        this.id = RequestId.create(world.time().instant(), world.random());
        if (!idempotent) {
            world.ledger().markNonIdempotent(this.organisation, id);
        }
    }

    World world() {
        return world;
    }

    OrganisationId organisation() {
        return organisation;
    }

    RequestId id() {
        return id;
    }

    boolean idempotent() {
        return idempotent;
    }

    Optional<Duration> deadline() {
        return behaviour.deadline() == 0
                ? Optional.empty()
                : Optional.of(Duration.ofMillis(behaviour.deadline()));
    }

    int initialDemand() {
        return behaviour.slow() == 0 || world.healed() ? FAST_DEMAND : 1;
    }

    /** Returns the time until the caller takes the next part. */
    Duration pause() {
        return world.healed() ? Duration.ofMillis(1) : Duration.ofMillis(1 + behaviour.slow());
    }

    Outcome firstOutcome() {
        return firstOutcome;
    }

    /** Sends the request for the first time. */
    void begin() {
        send(0);
        if (behaviour.twin()) {
            send(1);
        }
        if (behaviour.repeatAfter() > 0) {
            world.time()
                    .schedule(
                            Duration.ofMillis(behaviour.repeatAfter()),
                            () -> {
                                if (!settled) {
                                    send(1);
                                }
                            });
        }
    }

    private void send(int rank) {
        if (sendings >= MAXIMUM_SENDINGS || world.closing()) {
            return;
        }
        sendings++;
        connect(rank, this::newSending);
    }

    abstract OpenSending newSending(DaemonHost host);

    /** Makes a sending to a daemon. */
    @FunctionalInterface
    interface SendingFactory {
        OpenSending create(DaemonHost host);
    }

    /** Connects to a daemon; a refused connection is replaced by one to another daemon. */
    final void connect(int rank, SendingFactory factory) {
        if (connects++ > MAXIMUM_CONNECTS || world.closing()) {
            return;
        }
        Optional<DaemonHost> host = program.daemon(rank);
        if (host.isEmpty() || !host.get().alive()) {
            world.time().schedule(CONNECT_AGAIN, () -> connect(rank + 1, factory));
            return;
        }
        OpenSending sending = factory.create(host.get());
        sending.connect();
        if (behaviour.cancelAfter() > 0 && idempotent) {
            world.time()
                    .schedule(
                            Duration.ofMillis(behaviour.cancelAfter()),
                            () -> {
                                settled = true;
                                sending.cancel();
                            });
        }
    }

    /** Handles the end of a sending; refused and failed requests are repeated. */
    void ended(OpenSending sending, Outcome outcome) {
        if (firstOutcome == null) {
            firstOutcome = outcome;
        }
        if (outcome instanceof Outcome.Answered) {
            settled = true;
        } else if (outcome instanceof Outcome.NotRun notRun && !notRun.retryAfter().isZero()) {
            repeat(notRun.retryAfter());
        } else if (outcome instanceof Outcome.Unknown && idempotent) {
            repeat(Duration.ofMillis(300));
        }
    }

    private void repeat(Duration after) {
        Duration jitter = Duration.ofMillis(world.random().nextInt(400));
        world.time()
                .schedule(
                        after.plus(jitter),
                        () -> {
                            if (!settled) {
                                send(sendings);
                            }
                        });
    }

    /** Handles the loss of a connection without an outcome. */
    void lost(OpenSending sending) {
        if (!settled) {
            repeat(Duration.ofMillis(50));
        }
    }
}
