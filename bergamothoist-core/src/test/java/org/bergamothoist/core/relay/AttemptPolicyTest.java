package org.bergamothoist.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.bergamothoist.core.limit.RetryBudgets;
import org.bergamothoist.core.relay.AttemptPolicy.History;
import org.bergamothoist.core.relay.AttemptPolicy.Pending;
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
                false);
    }

    private static Pending pending(RequestKind kind, int attempts, History before) {
        return new Pending(route(kind, attempts), "s", before, false, ENOUGH);
    }

    private static Pending begunStream() {
        Route route = route(RequestKind.RESUMABLE_STREAM, 9);
        return new Pending(route, "s", History.NONE, true, ENOUGH);
    }

    private static int countRepeats(AttemptPolicy policy, Pending pending, AttemptResult result) {
        int repeats = 0;
        while (policy.isRetried(pending, result)) {
            repeats++;
        }
        return repeats;
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
        "RESUMABLE_STREAM,2,MOVED_AWAY,true",
        "RESUMABLE_STREAM,1,MOVED_AWAY,false",
        "STREAM,2,MOVED_AWAY,false",
    })
    void onlyWhatCannotRunTwiceOrMayBeRepeatedIsRetried(
            RequestKind kind, int attempts, AttemptResult result, boolean expected) {
        AttemptPolicy policy = new AttemptPolicy(new RetryBudgets(0.1, 5));
        assertThat(policy.isRetried(pending(kind, attempts, History.NONE), result))
                .isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({
        "NON_IDEMPOTENT,REFUSED,false",
        "IDEMPOTENT,NO_ANSWER,false",
        "STREAM,REFUSED,false",
        "RESUMABLE_STREAM,REFUSED,true",
    })
    void onlyAResumableStreamGoesOnAfterItsAnswerHasBegun(
            RequestKind kind, AttemptResult result, boolean expected) {
        AttemptPolicy policy = new AttemptPolicy(new RetryBudgets(0.1, 5));
        Pending begun = new Pending(route(kind, 3), "s", History.NONE, true, ENOUGH);
        assertThat(policy.isRetried(begun, result)).isEqualTo(expected);
    }

    @Test
    void refusalAfterARunDoesNotMakeANonIdempotentRequestRepeatable() {
        AttemptPolicy policy = new AttemptPolicy(new RetryBudgets(0.1, 5));
        History before = History.NONE.after(AttemptResult.NO_ANSWER);
        assertThat(before.certainlyNotRun()).isFalse();
        assertThat(
                        policy.isRetried(
                                pending(RequestKind.NON_IDEMPOTENT, 3, before),
                                AttemptResult.REFUSED))
                .isFalse();
    }

    @Test
    void budgetIsKeptForEachService() {
        AttemptPolicy policy = new AttemptPolicy(new RetryBudgets(0, 3));
        Route route = route(RequestKind.IDEMPOTENT, 2);
        Pending one = new Pending(route, "s", History.NONE, false, ENOUGH);
        Pending other = new Pending(route, "t", History.NONE, false, ENOUGH);
        assertThat(countRepeats(policy, one, AttemptResult.NO_ANSWER)).isEqualTo(1);
        assertThat(countRepeats(policy, other, AttemptResult.NO_ANSWER)).isEqualTo(1);
    }

    /** Guards against streams that are moved with the last repeat and break off at a refusal. */
    @Test
    void healthyStreamsAreLeftOnlyWhileRefusalsElsewhereCanBeFollowed() {
        AttemptPolicy policy = new AttemptPolicy(new RetryBudgets(0, 8));
        assertThat(countRepeats(policy, begunStream(), AttemptResult.MOVED_AWAY)).isEqualTo(4);
        assertThat(countRepeats(policy, begunStream(), AttemptResult.REFUSED)).isEqualTo(4);
    }

    @Test
    void requestsThatHaveNoAnswerYetLeaveRepeatsToBrokenStreams() {
        AttemptPolicy policy = new AttemptPolicy(new RetryBudgets(0, 8));
        Pending fresh = pending(RequestKind.IDEMPOTENT, 2, History.NONE);
        assertThat(countRepeats(policy, fresh, AttemptResult.NO_ANSWER)).isEqualTo(6);
        assertThat(countRepeats(policy, begunStream(), AttemptResult.BROKEN_STREAM)).isEqualTo(2);
    }

    @Test
    void nothingIsRetriedWithoutTimeLeft() {
        AttemptPolicy policy = new AttemptPolicy(new RetryBudgets(0.1, 5));
        Pending late =
                new Pending(
                        route(RequestKind.IDEMPOTENT, 2),
                        "s",
                        History.NONE,
                        false,
                        Duration.ofMillis(5));
        assertThat(policy.isRetried(late, AttemptResult.NOT_SENT)).isFalse();
    }
}
