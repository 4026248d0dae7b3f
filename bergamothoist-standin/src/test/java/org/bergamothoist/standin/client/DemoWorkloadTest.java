package org.bergamothoist.standin.client;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.sheet.ModelEntitlement;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationLimits;
import org.bergamothoist.core.sheet.ServiceEntitlement;
import org.bergamothoist.standin.Deployment;
import org.bergamothoist.standin.EngineSettings;
import org.bergamothoist.standin.PlatformSettings;
import org.bergamothoist.standin.PlatformStandIn;
import org.bergamothoist.standin.client.TestRouter.Fault;
import org.bergamothoist.standin.client.Violation.Kind;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class DemoWorkloadTest {

    private static final Deployment DEPLOYMENT = Deployment.AL_HARTHY;
    private static final InstantSource CLOCK = InstantSource.system();
    private static final Duration SHORT = Duration.ofMillis(400);

    private final PlatformStandIn platform =
            PlatformStandIn.start(
                    DEPLOYMENT,
                    PlatformSettings.defaults(DEPLOYMENT.model())
                            .with(
                                    EngineSettings.defaults(List.of(DEPLOYMENT.model()))
                                            .with(
                                                    new EngineSettings.Costs(
                                                            Duration.ofNanos(1_000),
                                                            Duration.ofMillis(20),
                                                            Duration.ZERO))),
                    CLOCK);

    @AfterEach
    void close() {
        platform.close();
    }

    /** Guards against a workload that blocks on streams, reports nothing or accuses wrongly. */
    @Test
    void runsManyStreamsAtOnce() {
        WorkloadResult result = run(Fault.NONE, 500, Duration.ofSeconds(1), 64);
        assertThat(result.violations()).isEmpty();
        assertThat(result.outcomes()).containsOnlyKeys(OutcomeKind.ANSWERED);
        assertThat(result.mostConcurrent()).isGreaterThanOrEqualTo(200);
        assertThat(result.hitRate()).isBetween(0.1, 0.99);
        assertThat(result.wastedTokens()).isZero();
        assertThat(result.timeToFirstToken().p50()).isPositive();
        assertThat(result.timeToFirstToken().p99())
                .isGreaterThanOrEqualTo(result.timeToFirstToken().p95());
    }

    /** Guards against a check that no fault of the router can make fail. */
    @ParameterizedTest
    @CsvSource({
        "DROP_PIECE, MISSING_PIECE",
        "REPEAT_PIECE, DUPLICATED_PIECE",
        "SWAP_PIECES, REORDERED_PIECE",
        "CROSS_ANSWERS, FOREIGN_TEXT",
        "OTHER_MODEL, WRONG_MODEL",
        "ANSWER_IN_PART, SILENT_CUT",
        "END_WITHOUT_OUTCOME, SILENT_CUT",
        "WRONG_EVENT_ID, MALFORMED_EVENT",
        "EXECUTE_TWICE, REPEATED_EXECUTION",
        "DENY_EXECUTION, FALSE_NOT_RUN",
        "NEVER_END, NO_OUTCOME"
    })
    void detectsBrokenPromises(Fault fault, Kind expected) {
        WorkloadResult result = run(fault, 50, SHORT, 5);
        assertThat(kinds(result)).containsExactly(expected);
    }

    /** Guards against a plan that differs between runs of the same seed. */
    @Test
    void drawsTheSameRequestsForTheSameSeed() {
        assertThat(draws(1)).isEqualTo(draws(1)).isNotEqualTo(draws(2));
    }

    /** Guards against prompts that share no prefix, or customers without a hot one. */
    @Test
    void drawsNestedPrefixesAndAHotCustomer() {
        List<WorkloadPlan.Draw> draws = draws(1);
        List<WorkloadPlan.Draw> hot = draws.stream().filter(draw -> draw.customer() == 0).toList();
        assertThat(hot).hasSizeBetween(draws.size() / 5, draws.size() / 2);
        int historyEnd = 5 * 64 * 4;
        String prefix = hot.get(0).prompt().substring(0, historyEnd);
        assertThat(hot).allMatch(draw -> draw.prompt().startsWith(prefix));
        int instructionEnd = 3 * 64 * 4;
        assertThat(draws.stream().filter(draw -> draw.organisation().equals("org-1")))
                .allMatch(draw -> draw.prompt().startsWith(prefix.substring(0, instructionEnd)))
                .anyMatch(draw -> !draw.prompt().startsWith(prefix));
        assertThat(draws)
                .anyMatch(draw -> draw.service().isPresent())
                .anyMatch(draw -> draw.booking() && draw.model().isPresent())
                .anyMatch(draw -> !draw.booking());
    }

    private static List<WorkloadPlan.Draw> draws(long seed) {
        WorkloadPlan plan = new WorkloadPlan(settings(100, SHORT).with(100, seed));
        return java.util.stream.Stream.generate(plan::next).limit(500).toList();
    }

    private static Set<Kind> kinds(WorkloadResult result) {
        return result.violations().stream().map(Violation::kind).collect(Collectors.toSet());
    }

    private WorkloadResult run(Fault fault, double rate, Duration duration, int tokens) {
        try (TestRouter router = new TestRouter(platform, fault)) {
            Duration patience = Duration.ofSeconds(fault == Fault.NEVER_END ? 3 : 60);
            WorkloadSettings settings = settings(rate, duration).withAnswers(tokens, patience);
            return new DemoWorkload(platform, List.of(router.address()), settings, CLOCK)
                    .run()
                    .join();
        }
    }

    private static WorkloadSettings settings(double rate, Duration duration) {
        return WorkloadSettings.of(
                        List.of(entry("org-1"), entry("org-2"), entry("org-3")), duration)
                .with(rate, 1);
    }

    private static OrganisationEntry entry(String name) {
        return new OrganisationEntry(
                new OrganisationId(name),
                0,
                "0".repeat(64),
                List.of(new ModelEntitlement(DEPLOYMENT.model(), false)),
                List.of(new ServiceEntitlement(DEPLOYMENT.serviceGroup(), "/bookings", true)),
                new OrganisationLimits(1_000, 1_000, 1));
    }
}
