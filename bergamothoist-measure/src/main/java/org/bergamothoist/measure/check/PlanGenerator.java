package org.bergamothoist.measure.check;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** Draws plans. */
final class PlanGenerator {

    /** No step begins before; the daemons start in this time. */
    private static final int FIRST_MILLISECONDS = 3_000;

    /** Faults and requests begin up to this time. */
    private static final int LAST_MILLISECONDS = 40_000;

    private static final int REQUESTS = 130;
    private static final int SHEETS = 8;
    private static final int FAULT_PAIRS = 5;
    private static final int LONGEST_FAULT_MILLISECONDS = 11_000;
    private static final int BURST = 12;
    private static final int LAG_MILLISECONDS = 7_000;
    private static final int REQUESTS_WHILE_LAGGING = 24;

    /** One run in this many has 1 to 3 daemons instead of 6. */
    private static final int SMALL_RUN = 5;

    /** One run in this many has content that crashes targets and no other faults. */
    private static final int QUIET_RUN = 6;

    private static final int USUAL_DAEMONS = 6;

    private final SplittableRandom random;
    private final List<Step> steps = new ArrayList<>();

    private PlanGenerator(long seed) {
        this.random = new SplittableRandom(seed);
    }

    static Plan generate(long seed) {
        return new PlanGenerator(seed).draw(seed);
    }

    private Plan draw(long seed) {
        boolean quiet = random.nextInt(QUIET_RUN) == 0;
        boolean small = !quiet && random.nextInt(SMALL_RUN) == 0;
        int daemons = small ? 1 + random.nextInt(3) : USUAL_DAEMONS;
        boolean checkpointDue = random.nextBoolean();
        for (int request = 0; request < REQUESTS; request++) {
            addRequest(quiet);
        }
        if (quiet) {
            addBurst(0, FIRST_MILLISECONDS + random.nextInt(4_000));
            addBurst(1, LAST_MILLISECONDS / 2 + random.nextInt(4_000));
            addServiceBurst(2, LAST_MILLISECONDS / 3 + random.nextInt(4_000));
            addServiceBurst(3, LAST_MILLISECONDS - random.nextInt(4_000));
        } else {
            addSheets();
            addFaults();
            addLaggingDaemons();
        }
        return new Plan(seed, daemons, checkpointDue, quiet, steps);
    }

    private Duration time() {
        int span = LAST_MILLISECONDS - FIRST_MILLISECONDS;
        return Duration.ofMillis(FIRST_MILLISECONDS + random.nextInt(span));
    }

    private void addRequest(boolean quiet) {
        if (random.nextInt(3) == 0 && !quiet) {
            addServiceCall();
            return;
        }
        boolean idempotent = quiet || random.nextInt(4) != 0;
        Step.Behaviour behaviour = quiet ? Step.Behaviour.PLAIN : behaviour(idempotent);
        steps.add(completion(time(), idempotent, behaviour, ""));
    }

    private Step.Completion completion(
            Duration at, boolean idempotent, Step.Behaviour behaviour, String marker) {
        return new Step.Completion(
                at,
                random.nextInt(World.PROGRAMS),
                random.nextInt(World.ORGANISATIONS.size()),
                random.nextInt(4),
                random.nextInt(1_000),
                5 + random.nextInt(70),
                idempotent,
                behaviour,
                marker);
    }

    private Step.Behaviour behaviour(boolean idempotent) {
        return new Step.Behaviour(
                random.nextInt(6) == 0,
                random.nextInt(4) == 0 ? 50 + random.nextInt(6_000) : 0,
                random.nextInt(6) == 0 ? 200 + random.nextInt(600) : 0,
                idempotent && random.nextInt(12) == 0 ? 1 + random.nextInt(800) : 0,
                random.nextInt(6) == 0 ? 300 + random.nextInt(3_000) : 0);
    }

    private void addServiceCall() {
        int kind = random.nextInt(4);
        boolean idempotent = kind != 2;
        steps.add(
                new Step.ServiceCall(
                        time(),
                        random.nextInt(World.PROGRAMS),
                        random.nextInt(World.ORGANISATIONS.size()),
                        kind == 0 ? "GET" : "POST",
                        kind == 3 ? "/book/slot" : "/lookup/slot",
                        idempotent,
                        behaviour(kind == 0)));
    }

    private void addBurst(int number, int begin) {
        String marker = FakeEngine.CRASHING + number;
        steps.add(completion(Duration.ofMillis(begin + 10L), true, Step.Behaviour.PLAIN, marker));
        for (int innocent = 0; innocent < BURST; innocent++) {
            Duration at = Duration.ofMillis(begin + random.nextInt(60));
            steps.add(completion(at, true, Step.Behaviour.PLAIN, ""));
        }
    }

    private void addServiceBurst(int number, int begin) {
        steps.add(lookup(Duration.ofMillis(begin + 10L), "/" + FakeEngine.CRASHING + number));
        for (int innocent = 0; innocent < BURST; innocent++) {
            steps.add(lookup(Duration.ofMillis(begin + random.nextInt(60)), "/" + innocent));
        }
    }

    private Step.ServiceCall lookup(Duration at, String detail) {
        return new Step.ServiceCall(
                at,
                random.nextInt(World.PROGRAMS),
                random.nextInt(World.ORGANISATIONS.size()),
                "GET",
                "/lookup" + detail,
                true,
                Step.Behaviour.PLAIN);
    }

    private void addSheets() {
        for (int sheet = 0; sheet < SHEETS; sheet++) {
            Duration at = time();
            int organisation = random.nextInt(World.ORGANISATIONS.size());
            steps.add(sheet(at, 0, organisation));
            if (random.nextInt(3) == 0) {
                steps.add(sheet(at.plusMillis(random.nextInt(30)), 1, organisation));
            }
        }
    }

    private Step.Sheet sheet(Duration at, int office, int organisation) {
        return new Step.Sheet(
                at,
                random.nextInt(4) == 0 ? 1 - office : office,
                organisation,
                random.nextInt(10),
                random.nextInt(4) == 0);
    }

    /** Faults come in overlapping pairs. */
    private void addFaults() {
        for (int pair = 0; pair < FAULT_PAIRS; pair++) {
            Duration at = time();
            addFault(at);
            addFault(at.plusMillis(random.nextInt(2_000)));
        }
    }

    /**
     * Some daemons cannot follow the log, or stand still, while a sheet comes into force without
     * them and callers go on asking them. Random faults alone seldom meet in this way.
     */
    private void addLaggingDaemons() {
        Duration at = time();
        Duration length = Duration.ofMillis(LAG_MILLISECONDS + random.nextInt(LAG_MILLISECONDS));
        int subject = random.nextInt(1_000);
        if (random.nextBoolean()) {
            steps.add(new Step.Fault(at, FaultKind.DAEMON_PAUSE, subject, length));
        } else {
            steps.add(new Step.Fault(at, FaultKind.PARTITION, subject, length));
            steps.add(new Step.Fault(at, FaultKind.LOG_CUT_OFF, subject, length));
        }
        int organisation = random.nextInt(World.ORGANISATIONS.size());
        steps.add(sheet(at.plusMillis(random.nextInt(1_500)), 0, organisation));
        for (int request = 0; request < REQUESTS_WHILE_LAGGING; request++) {
            Duration requestAt = at.plusMillis(random.nextInt((int) length.toMillis()));
            Step.Completion step = completion(requestAt, true, Step.Behaviour.PLAIN, "");
            steps.add(
                    new Step.Completion(
                            requestAt,
                            step.program(),
                            organisation,
                            step.history(),
                            step.question(),
                            step.maximumTokens(),
                            true,
                            step.behaviour(),
                            ""));
        }
    }

    private void addFault(Duration at) {
        FaultKind[] kinds = FaultKind.values();
        steps.add(
                new Step.Fault(
                        at,
                        kinds[random.nextInt(kinds.length)],
                        random.nextInt(1_000),
                        Duration.ofMillis(200 + random.nextInt(LONGEST_FAULT_MILLISECONDS))));
    }
}
