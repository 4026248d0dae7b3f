package org.bergamothoist.measure.check;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.bergamothoist.core.membership.DaemonAddresses;

/** A caller's program: asks for addresses and keeps the answer for its lifetime. */
final class CallerProgram {

    private static final Duration ASK_INTERVAL = Duration.ofMillis(500);

    private final World world;
    private final String dataCentre;
    private List<String> addresses = List.of();
    private Instant validUntil = Instant.MIN;
    private Instant askedAt = Instant.MIN;

    CallerProgram(World world, String dataCentre) {
        this.world = world;
        this.dataCentre = dataCentre;
    }

    /**
     * Returns a daemon to use; empty while no answer is at hand.
     *
     * @param rank 0 for the best, larger for others
     */
    Optional<DaemonHost> daemon(int rank) {
        Instant now = world.time().instant();
        if (validUntil.isBefore(now)) {
            ask(now);
            return Optional.empty();
        }
        return world.hostAt(addresses.get(rank % addresses.size()));
    }

    private void ask(Instant now) {
        if (askedAt.plus(ASK_INTERVAL).isAfter(now)) {
            return;
        }
        askedAt = now;
        List<DaemonHost> hosts = world.hosts();
        DaemonHost host = hosts.get(world.random().nextInt(hosts.size()));
        if (!host.alive()) {
            return;
        }
        host.process()
                .execute(
                        () ->
                                host.node()
                                        .addresses(Optional.of(dataCentre), Optional.empty())
                                        .thenAccept(this::take));
    }

    private void take(DaemonAddresses answer) {
        if (!answer.addresses().isEmpty()) {
            addresses = answer.addresses().stream().map(DaemonAddresses.Address::address).toList();
            validUntil = world.time().instant().plus(answer.lifetime());
        }
    }
}
