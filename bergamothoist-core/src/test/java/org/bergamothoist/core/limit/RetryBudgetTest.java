package org.bergamothoist.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryBudgetTest {

    /** Guards against retries that multiply the load when most requests fail. */
    @Test
    void limitsRetriesToTenthOfRequestsPlusReserve() {
        RetryBudget budget = RetryBudget.standard();
        int retries = 0;
        for (int request = 0; request < 1_000; request++) {
            budget.onRequest();
            retries += budget.tryTake() ? 1 : 0;
        }
        assertThat(retries).isBetween(100, 100 + RetryBudget.STANDARD_RESERVE);
    }

    /**
     * Guards against hedging requests that are not idempotent or have already started to answer.
     */
    @ParameterizedTest
    @CsvSource({"true,false,true", "false,false,false", "true,true,false"})
    void hedgesOnlyIdempotentRequestsBeforeTheFirstToken(
            boolean idempotent, boolean firstTokenSeen, boolean expected) {
        HedgePolicy policy = policy(1);

        assertThat(policy.tryHedge(idempotent, firstTokenSeen)).isEqualTo(expected);
        assertThat(policy.hedgeDelay(idempotent).isPresent()).isEqualTo(idempotent);
    }

    /** Guards against hedges beyond the budget and against wasted tokens that are not counted. */
    @Test
    void chargesHedgesToBudgetAndCountsWastedTokens() {
        HedgePolicy policy = policy(1);

        assertThat(policy.tryHedge(true, false)).isTrue();
        assertThat(policy.tryHedge(true, false)).isFalse();
        policy.addWastedTokens(1_234);
        assertThat(policy.hedges()).isEqualTo(1);
        assertThat(policy.wastedTokens()).isEqualTo(1_234);
    }

    /** Guards against hedging ordinary requests because the delay follows the median. */
    @Test
    void hedgeDelayIsHighQuantileOfObservedTimes() {
        assertThat(policy(0).hedgeDelay(true)).contains(Duration.ofMillis(1_013));
    }

    private static HedgePolicy policy(int reserve) {
        HedgePolicy policy =
                new HedgePolicy(
                        HedgePolicy.STANDARD_QUANTILE,
                        Duration.ofMillis(50),
                        new RetryBudget(0, reserve));
        for (int milliseconds = 1; milliseconds <= 1_024; milliseconds++) {
            policy.onFirstToken(Duration.ofMillis(milliseconds));
        }
        return policy;
    }
}
