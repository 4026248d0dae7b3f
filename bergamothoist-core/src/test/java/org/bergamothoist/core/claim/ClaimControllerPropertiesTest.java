package org.bergamothoist.core.claim;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Label;
import net.jqwik.api.Property;
import net.jqwik.api.lifecycle.BeforeTry;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.InMemoryLog;
import org.bergamothoist.core.log.LogRecord.ClaimKey;
import org.bergamothoist.core.log.LogRecordFixtures;
import org.bergamothoist.core.log.LogTail;
import org.bergamothoist.core.log.LogTailSettings;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** Submits the same requests repeatedly to several daemons while the log shows random faults. */
class ClaimControllerPropertiesTest {

    private static final int DAEMONS = 3;
    private static final int STEPS = 300;

    private VirtualTimeScheduler time;
    private InMemoryLog log;
    private Random random;
    private List<Daemon> daemons;
    private List<ClaimKey> keys;
    private Map<ClaimKey, Integer> runs;

    /** One daemon. Its incarnation is the number of the step that started it. */
    private final class Daemon {
        private final InMemoryLog.Client client = log.client();
        private final SharedState state = new SharedState();
        private final LogTail tail =
                new LogTail(client, state, time, time, random, LogTailSettings.DEFAULT);
        private final ClaimController controller;

        Daemon(DaemonId id) {
            controller = new ClaimController(id, client, tail, state, time, time, random);
            tail.start(Duration.ZERO);
        }

        void submit(ClaimKey key) {
            Duration deadline = Duration.ofMillis(10 + random.nextInt(2_000));
            controller.claim(key, deadline).thenAccept(result -> onClaimResult(key, result));
        }

        private void onClaimResult(ClaimKey key, ClaimResult result) {
            if (!(result instanceof ClaimResult.Granted)) {
                return;
            }
            if (random.nextInt(3) == 0) {
                controller.release(key);
                return;
            }
            runs.merge(key, 1, Integer::sum);
            controller.recordOutcome(key, random.nextBoolean());
        }
    }

    @BeforeTry
    void createLog() {
        time = new VirtualTimeScheduler();
        log = new InMemoryLog(time);
        daemons = new ArrayList<>();
        keys = new ArrayList<>();
        runs = new HashMap<>();
    }

    @Property(tries = 400, seed = "7")
    @Label("guards against a non-idempotent request that runs twice, whatever faults the log has")
    void runsAtMostOnce(@ForAll long seed) {
        random = new Random(seed);
        for (int index = 0; index < DAEMONS; index++) {
            daemons.add(new Daemon(LogRecordFixtures.daemon("d" + index, 0)));
        }
        for (int step = 1; step <= STEPS; step++) {
            if (keys.size() < 3 || random.nextInt(40) == 0) {
                keys.add(LogRecordFixtures.claimKey(time.instant(), step));
            }
            ClaimKey key = keys.get(Math.max(0, keys.size() - 1 - random.nextInt(4)));
            daemons.get(random.nextInt(DAEMONS)).submit(key);
            injectFault(step);
            boolean longPause = random.nextInt(60) == 0;
            time.advanceMillis(random.nextInt(longPause ? 400_000 : 400));
        }
        assertThat(runs).isNotEmpty().allSatisfy((key, count) -> assertThat(count).isEqualTo(1));
    }

    private void injectFault(int step) {
        int index = random.nextInt(DAEMONS);
        Daemon daemon = daemons.get(index);
        switch (random.nextInt(16)) {
            case 0 -> daemon.client.down = !daemon.client.down;
            case 1 -> daemon.client.readsHang = !daemon.client.readsHang;
            case 2 -> daemon.client.losesResponses = !daemon.client.losesResponses;
            case 3 -> daemon.client.lateAppendDelay = Duration.ofMillis(random.nextInt(20_000));
            case 4, 5 -> daemon.client.lateAppendDelay = null;
            case 6 -> clearFaults(daemon.client);
            case 7 -> {
                SharedState peer = daemons.get(random.nextInt(DAEMONS)).state;
                daemon.tail.acceptSnapshot(peer.snapshot(), Duration.ZERO, Duration.ZERO);
            }
            case 8 -> {
                daemon.tail.stop();
                daemons.set(index, new Daemon(LogRecordFixtures.daemon("d" + index, step)));
            }
            default -> {}
        }
    }

    private static void clearFaults(InMemoryLog.Client client) {
        client.down = false;
        client.readsHang = false;
        client.losesResponses = false;
        client.lateAppendDelay = null;
    }
}
