package org.bergamothoist.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.bergamothoist.core.limit.RetryBudgets;
import org.bergamothoist.core.relay.AttemptPolicy.History;
import org.bergamothoist.core.route.RequestKind;
import org.bergamothoist.core.route.Route;
import org.bergamothoist.core.route.WeightedService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class AttemptPolicyTest {

    private static final Duration ENOUGH = Duration.ofSeconds(1);

    private static Route route(RequestKind kind, int attempts) {
        return new Route(
                "r",
                "h",
                "/",
                kind,
                ENOUGH,
                ENOUGH,
                0,
                List.of(new WeightedService("s", 1)),
                attempts,
                false,
                false);
    }

    @ParameterizedTest
    @CsvSource({
        "NON_IDEMPOTENT,1,NOT_SENT,true",
        "NON_IDEMPOTENT,1,REFUSED,true",
        "NON_IDEMPOTENT,3,NO_ANSWER,false",
        "NON_IDEMPOTENT,3,SERVER_ERROR,false",
        "STREAM,2,BROKEN_STREAM,false",
        "STREAM,2,REFUSED,true",
        "IDEMPOTENT,1,NO_ANSWER,false",
        "IDEMPOTENT,2,NO_ANSWER,true",
        "IDEMPOTENT,2,SERVER_ERROR,true",
        "RESUMABLE_STREAM,2,BROKEN_STREAM,true",
    })
    void onlyWhatCannotRunTwiceOrMayBeRepeatedIsRetried(
            RequestKind kind, int attempts, AttemptResult result, boolean expected) {
        AttemptPolicy policy = new AttemptPolicy(new RetryBudgets(0.1, 5));
        History history = History.NONE.after(result);
        assertThat(policy.isRetried(route(kind, attempts), "s", result, history, ENOUGH))
                .isEqualTo(expected);
    }

    @Test
    void refusalAfterARunDoesNotMakeANonIdempotentRequestRepeatable() {
        AttemptPolicy policy = new AttemptPolicy(new RetryBudgets(0.1, 5));
        History history = History.NONE.after(AttemptResult.NO_ANSWER).after(AttemptResult.REFUSED);
        assertThat(history.certainlyNotRun()).isFalse();
        assertThat(
                        policy.isRetried(
                                route(RequestKind.NON_IDEMPOTENT, 3),
                                "s",
                                AttemptResult.REFUSED,
                                history,
                                ENOUGH))
                .isFalse();
    }

    @Test
    void budgetIsKeptForEachService() {
        AttemptPolicy policy = new AttemptPolicy(new RetryBudgets(0, 1));
        Route route = route(RequestKind.IDEMPOTENT, 2);
        History history = History.NONE.after(AttemptResult.NO_ANSWER);
        assertThat(policy.isRetried(route, "s", AttemptResult.NO_ANSWER, history, ENOUGH)).isTrue();
        assertThat(policy.isRetried(route, "s", AttemptResult.NO_ANSWER, history, ENOUGH))
                .isFalse();
        assertThat(policy.isRetried(route, "t", AttemptResult.NO_ANSWER, history, ENOUGH)).isTrue();
    }

    @Test
    void nothingIsRetriedWithoutTimeLeft() {
        AttemptPolicy policy = new AttemptPolicy(new RetryBudgets(0.1, 5));
        History history = History.NONE.after(AttemptResult.NOT_SENT);
        assertThat(
                        policy.isRetried(
                                route(RequestKind.IDEMPOTENT, 2),
                                "s",
                                AttemptResult.NOT_SENT,
                                history,
                                Duration.ofMillis(5)))
                .isFalse();
    }
}
