package org.bergamothoist.measure.check;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationState;
import org.bergamothoist.core.sheet.SheetDigest;
import org.bergamothoist.core.sheet.SheetStatus;

/** The operators of one office: submit sheets, repeat lost submissions, wait for the effect. */
final class Operator {

    private static final Duration POLL = Duration.ofMillis(400);
    private static final Duration PATIENCE = Duration.ofSeconds(12);
    private static final int MAXIMUM_TRIES = 4;

    private final World world;
    private final String office;
    private final Map<OrganisationId, Long> lastSeen = new HashMap<>();

    Operator(World world, String office) {
        this.world = world;
        this.office = office;
    }

    void begin(Step.Sheet step) {
        DaemonHost host = anyDaemon();
        if (!host.alive()) {
            return;
        }
        host.process()
                .execute(
                        () ->
                                host.node()
                                        .organisations()
                                        .thenAccept(
                                                states -> submit(host, entry(step, states), 0)));
    }

    private DaemonHost anyDaemon() {
        List<DaemonHost> hosts = world.hosts();
        return hosts.get(world.random().nextInt(hosts.size()));
    }

    private OrganisationEntry entry(Step.Sheet step, List<OrganisationState> states) {
        OrganisationId organisation = World.ORGANISATIONS.get(step.organisation());
        long current =
                states.stream()
                        .filter(state -> state.entry().organisation().equals(organisation))
                        .mapToLong(OrganisationState::version)
                        .findFirst()
                        .orElse(0);
        long base = step.stale() ? lastSeen.getOrDefault(organisation, current) : current;
        lastSeen.put(organisation, current);
        return World.entry(organisation, base, step.variant());
    }

    /** One submission, which is repeated through other daemons until one of them decides it. */
    private final class Submission {
        private final OrganisationEntry entry;
        private final String digest;
        private boolean decided;

        Submission(OrganisationEntry entry) {
            this.entry = entry;
            this.digest = SheetDigest.of(List.of(entry));
        }

        void send(DaemonHost host, int tries) {
            if (!host.alive()) {
                again(tries);
                return;
            }
            world.log().count("sheets-submitted");
            host.process()
                    .execute(
                            () ->
                                    host.node()
                                            .submitSheet(office, "operator", List.of(entry))
                                            .whenComplete(
                                                    (status, failure) -> {
                                                        if (failure != null) {
                                                            again(tries);
                                                        } else {
                                                            answered(host, status);
                                                        }
                                                    }));
            world.time()
                    .schedule(
                            PATIENCE,
                            () -> {
                                if (!decided) {
                                    again(tries);
                                }
                            });
        }

        private void again(int tries) {
            if (tries < MAXIMUM_TRIES && !decided && !world.closing()) {
                world.time().schedule(POLL, () -> send(anyDaemon(), tries + 1));
            }
        }

        private void answered(DaemonHost host, SheetStatus status) {
            world.log().note(host.self() + " says " + status.reach() + " of sheet " + digest);
            switch (status.reach()) {
                case REFUSED -> {
                    decided = true;
                    world.log().count("sheets-refused");
                }
                case IN_FORCE -> {
                    decided = true;
                    world.sheetOracle()
                            .inForce(entry.organisation(), status.verdict().firstOffset());
                }
                default -> world.time().schedule(POLL, () -> poll(host));
            }
        }

        private void poll(DaemonHost host) {
            if (decided || !host.alive()) {
                return;
            }
            host.process()
                    .execute(
                            () ->
                                    host.node()
                                            .sheetStatus(digest)
                                            .thenAccept(
                                                    status ->
                                                            status.ifPresent(
                                                                    known ->
                                                                            answered(
                                                                                    host, known))));
        }
    }

    private void submit(DaemonHost host, OrganisationEntry entry, int tries) {
        new Submission(entry).send(host, tries);
    }
}
