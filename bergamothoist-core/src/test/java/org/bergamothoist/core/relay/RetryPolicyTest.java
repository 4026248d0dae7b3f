package org.bergamothoist.core.relay;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import org.bergamothoist.core.limit.RetryBudgets;
import org.bergamothoist.core.relay.RetryPolicy.FailedAttempt;
import org.bergamothoist.core.relay.RetryPolicy.History;
import org.bergamothoist.core.route.RequestKind;
import org.bergamothoist.core.route.Route;
import org.bergamothoist.core.route.WeightedService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RetryPolicyTest {

    private static final Duration AMPLE_TIME = Duration.ofSeconds(1);

    private static Route route(RequestKind kind, int attempts) {
        return new Route(
                "r",
                "h",
                "/",
                kind,
                AMPLE_TIME,
                AMPLE_TIME,
                Duration.ZERO,
                0,
                List.of(new WeightedService("s", 1)),
                attempts,
                false);
    }

    private static FailedAttempt failedAttempt(RequestKind kind, int attempts, History before) {
        return new FailedAttempt(route(kind, attempts), "s", before, false, AMPLE_TIME);
    }

    private static FailedAttempt startedStream() {
        Route route = route(RequestKind.RESUMABLE_STREAM, 9);
        return new FailedAttempt(route, "s", History.NONE, true, AMPLE_TIME);
    }

    private static int countRetries(
            RetryPolicy policy, FailedAttempt failedAttempt, AttemptFailure failure) {
        int retries = 0;
        while (policy.tryRetry(failedAttempt, failure)) {
            retries++;
        }
        return retries;
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
    void retriesOnlyRequestsThatDidNotRunOrAreRetryable(
            RequestKind kind, int attempts, AttemptFailure failure, boolean expected) {
        RetryPolicy policy = new RetryPolicy(new RetryBudgets(0.1, 5));
        assertThat(policy.tryRetry(failedAttempt(kind, attempts, History.NONE), failure))
                .isEqualTo(expected);
    }

    @ParameterizedTest
    @CsvSource({
        "NON_IDEMPOTENT,REFUSED,false",
        "IDEMPOTENT,NO_ANSWER,false",
        "STREAM,REFUSED,false",
        "RESUMABLE_STREAM,REFUSED,true",
    })
    void retriesOnlyResumableStreamsAfterResponseStarted(
            RequestKind kind, AttemptFailure failure, boolean expected) {
        RetryPolicy policy = new RetryPolicy(new RetryBudgets(0.1, 5));
        FailedAttempt started =
                new FailedAttempt(route(kind, 3), "s", History.NONE, true, AMPLE_TIME);
        assertThat(policy.tryRetry(started, failure)).isEqualTo(expected);
    }

    @Test
    void doesNotRetryRefusedNonIdempotentRequestThatMayHaveRunEarlier() {
        RetryPolicy policy = new RetryPolicy(new RetryBudgets(0.1, 5));
        History before = History.NONE.after(AttemptFailure.NO_ANSWER);
        assertThat(before.certainlyNotRun()).isFalse();
        assertThat(
                        policy.tryRetry(
                                failedAttempt(RequestKind.NON_IDEMPOTENT, 3, before),
                                AttemptFailure.REFUSED))
                .isFalse();
    }

    @Test
    void hasSeparateBudgetForEachService() {
        RetryPolicy policy = new RetryPolicy(new RetryBudgets(0, 3));
        Route route = route(RequestKind.IDEMPOTENT, 2);
        FailedAttempt one = new FailedAttempt(route, "s", History.NONE, false, AMPLE_TIME);
        FailedAttempt other = new FailedAttempt(route, "t", History.NONE, false, AMPLE_TIME);
        assertThat(countRetries(policy, one, AttemptFailure.NO_ANSWER)).isEqualTo(1);
        assertThat(countRetries(policy, other, AttemptFailure.NO_ANSWER)).isEqualTo(1);
    }

    /** Guards against moving a stream with the last retry, so that a refusal cuts it off. */
    @Test
    void movesHealthyStreamOnlyIfRetriesRemainForRefusals() {
        RetryPolicy policy = new RetryPolicy(new RetryBudgets(0, 8));
        assertThat(countRetries(policy, startedStream(), AttemptFailure.MOVED_AWAY)).isEqualTo(4);
        assertThat(countRetries(policy, startedStream(), AttemptFailure.REFUSED)).isEqualTo(4);
    }

    @Test
    void reservesRetriesForStartedStreams() {
        RetryPolicy policy = new RetryPolicy(new RetryBudgets(0, 8));
        FailedAttempt fresh = failedAttempt(RequestKind.IDEMPOTENT, 2, History.NONE);
        assertThat(countRetries(policy, fresh, AttemptFailure.NO_ANSWER)).isEqualTo(6);
        assertThat(countRetries(policy, startedStream(), AttemptFailure.BROKEN_STREAM))
                .isEqualTo(2);
    }

    @Test
    void doesNotRetryWithoutTimeLeft() {
        RetryPolicy policy = new RetryPolicy(new RetryBudgets(0.1, 5));
        FailedAttempt late =
                new FailedAttempt(
                        route(RequestKind.IDEMPOTENT, 2),
                        "s",
                        History.NONE,
                        false,
                        Duration.ofMillis(5));
        assertThat(policy.tryRetry(late, AttemptFailure.NOT_SENT)).isFalse();
    }
}
