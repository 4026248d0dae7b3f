package org.bergamothoist.core.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.SplittableRandom;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.RequestId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryAwareOutcomeGuardTest {

    private static final Instant CREATED = Instant.EPOCH.plusSeconds(1_000);

    /**
     * Guards against reporting a retry as "not run" although another daemon ran the request. An old
     * identifier indicates a retry, idempotent or not; a resumption counts as one at any age.
     */
    @ParameterizedTest
    @CsvSource({
        "PT0.1S, true, false, false",
        "PT0.1S, false, false, false",
        "PT2S, true, false, true",
        "PT2S, false, false, true",
        "PT0.1S, true, true, true"
    })
    void refusalOfPossibleRetryHasUnknownOutcome(
            Duration age, boolean idempotent, boolean resuming, boolean expectUnknown) {
        RetryAwareOutcomeGuard guard =
                new RetryAwareOutcomeGuard(
                        (guarantee, holds, detail) -> assertThat(holds).isTrue());

        Outcome outcome =
                guard.check(
                        exchange(CREATED.plus(age), idempotent, resuming),
                        Outcome.notRun(ErrorCode.LIMIT_EXCEEDED, "full"));

        assertThat(outcome instanceof Outcome.Unknown).isEqualTo(expectUnknown);
    }

    private static RequestExchange exchange(
            Instant arrivedAt, boolean idempotent, boolean resuming) {
        RequestExchange.Metadata metadata =
                new RequestExchange.Metadata(
                        RequestId.create(CREATED, new SplittableRandom(1)),
                        true,
                        "key",
                        5,
                        arrivedAt,
                        Optional.empty(),
                        idempotent);
        return new RequestExchange(metadata, (exchange, outcome) -> outcome) {
            @Override
            public boolean resuming() {
                return resuming;
            }

            @Override
            public int estimatedTokens() {
                return 1;
            }

            @Override
            protected void deliver(Outcome finalOutcome) {
                // Not called: the test calls the guard directly.
            }
        };
    }
}
