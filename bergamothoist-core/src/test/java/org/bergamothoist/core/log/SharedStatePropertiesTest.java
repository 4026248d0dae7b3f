package org.bergamothoist.core.log;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bergamothoist.core.log.LogRecordFixtures.claimKey;
import static org.bergamothoist.core.log.LogRecordFixtures.daemon;
import static org.bergamothoist.core.log.LogRecordFixtures.fingerprint;
import static org.bergamothoist.core.log.LogRecordFixtures.joined;
import static org.bergamothoist.core.log.LogRecordFixtures.loss;
import static org.bergamothoist.core.log.LogRecordFixtures.organisation;
import static org.bergamothoist.core.log.LogRecordFixtures.sheet;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.UUID;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.BeforeTry;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.LogRecord.ClaimKey;
import org.bergamothoist.core.log.LogRecord.ClaimOutcome;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** Applies random logs with checkpoints, expiry, restarts, relays and peers' snapshots. */
class SharedStatePropertiesTest {

    private static final int RECORDS = 400;
    private static final int MAXIMUM_DAEMONS = 6;

    /** Page and buffer sizes so small that the random logs exceed them. */
    private static final LogTailSettings SMALL_PAGES =
            new LogTailSettings(
                    Duration.ofSeconds(2), Duration.ofSeconds(8), Duration.ofSeconds(2), 16, 64);

    private VirtualTimeScheduler time;
    private Instant start;
    private InMemoryLog log;

    @BeforeTry
    void createLog() {
        time = new VirtualTimeScheduler();
        start = time.instant();
        log = new InMemoryLog(time);
    }

    private static final class Daemon {
        private final InMemoryLog.Client client;
        private final SharedState state = new SharedState();
        private final LogTail tail;

        Daemon(InMemoryLog log, VirtualTimeScheduler time, Random random) {
            client = log.client();
            tail = new LogTail(client, state, time, time, random, SMALL_PAGES);
            tail.start(Duration.ZERO);
        }
    }

    @Property(tries = 150, seed = "20260302")
    @Label("guards against states that differ because daemons started at different offsets")
    void daemonsConvergeToTheSameState(@ForAll long seed) {
        Random random = new Random(seed);
        SharedState reference = new SharedState();
        List<Daemon> daemons = new ArrayList<>();
        for (int step = 0; step < RECORDS; step++) {
            long offset = log.add(randomRecord(random, reference));
            reference.apply(log.entries().get((int) offset - 1));
            time.advance(Duration.ofMillis(random.nextInt(20_000)));
            injectRandomEvent(random, daemons, reference);
        }
        daemons.add(new Daemon(log, time, random));
        daemons.forEach(daemon -> daemon.client.down = false);
        time.advance(Duration.ofSeconds(30));
        for (Daemon daemon : daemons) {
            if (daemon.tail.needsSnapshot()) {
                daemon.tail.acceptSnapshot(reference.snapshot(), Duration.ZERO, Duration.ZERO);
            }
            assertThat(daemon.state.snapshot()).isEqualTo(reference.snapshot());
            assertThat(SharedState.digest(daemon.state.snapshot()))
                    .isEqualTo(SharedState.digest(reference.snapshot()));
        }
    }

    private void injectRandomEvent(Random random, List<Daemon> daemons, SharedState reference) {
        switch (random.nextInt(24)) {
            case 0 -> restart(random, daemons);
            case 1 -> log.expireBelow(1 + random.nextInt(log.entries().size()));
            case 2 -> daemons.forEach(daemon -> daemon.client.down = random.nextBoolean());
            case 3 -> daemons.forEach(daemon -> daemon.client.down = false);
            case 4 ->
                    daemons.forEach(
                            daemon ->
                                    daemon.tail.acceptSnapshot(
                                            reference.snapshot(), Duration.ZERO, Duration.ZERO));
            case 5 -> relayBetweenAll(daemons);
            default -> {}
        }
    }

    private void restart(Random random, List<Daemon> daemons) {
        if (daemons.size() == MAXIMUM_DAEMONS) {
            daemons.remove(random.nextInt(MAXIMUM_DAEMONS)).tail.stop();
        }
        daemons.add(new Daemon(log, time, random));
    }

    private static void relayBetweenAll(List<Daemon> daemons) {
        for (Daemon sender : daemons) {
            for (Daemon receiver : daemons) {
                sender.tail
                        .relayAfter(receiver.tail.appliedOffset(), 8)
                        .ifPresent(relay -> receiver.tail.acceptRelay(relay, Duration.ZERO));
            }
        }
    }

    private LogRecord randomRecord(Random random, SharedState reference) {
        DaemonId daemon = daemon("d" + random.nextInt(4), random.nextInt(6));
        return switch (random.nextInt(10)) {
            case 0, 1 -> randomSheet(random);
            case 2, 3 -> randomBatch(random, daemon);
            case 4 -> joined(daemon, "address:" + random.nextInt(5));
            case 5 -> new LogRecord.DaemonLeft(daemon, daemon);
            case 6 -> {
                Duration duration = Duration.ofSeconds(random.nextInt(60) - 5);
                yield new LogRecord.LeaseRequest("r" + random.nextInt(2), daemon, duration);
            }
            case 7 -> loss("i" + random.nextInt(4), fingerprint(random.nextInt(5)));
            case 8 -> randomCheckpoint(random, daemon, reference);
            default ->
                    random.nextBoolean()
                            ? new LogRecord.QuarantineRelease(
                                    List.of(fingerprint(random.nextInt(5))), "")
                            : new LogRecord.Unknown("newer version");
        };
    }

    private LogRecord randomSheet(Random random) {
        return sheet(
                "office" + random.nextInt(2),
                organisation("o" + random.nextInt(3), random.nextInt(5), random.nextInt(3)),
                organisation("p" + random.nextInt(3), 0, "k" + random.nextInt(3), 1));
    }

    private LogRecord randomBatch(Random random, DaemonId holder) {
        List<ClaimKey> keys = new ArrayList<>();
        for (int index = 0; index < 3; index++) {
            Instant created = start.plusSeconds(random.nextInt(4_000));
            keys.add(claimKey(created, random.nextInt(2)));
        }
        return new LogRecord.ClaimBatch(
                new UUID(random.nextLong(), random.nextLong()),
                holder,
                keys,
                keys.subList(0, random.nextInt(2)),
                List.of(new ClaimOutcome(keys.get(2), random.nextBoolean())));
    }

    private LogRecord randomCheckpoint(Random random, DaemonId writer, SharedState reference) {
        SharedState covered = new SharedState();
        long offset = Math.max(0, reference.appliedOffset() - random.nextInt(20));
        log.entries().stream().limit(offset).forEach(covered::apply);
        SharedStateSnapshot snapshot = covered.snapshot();
        return new LogRecord.Checkpoint(writer, offset, SharedState.digest(snapshot), snapshot);
    }
}
