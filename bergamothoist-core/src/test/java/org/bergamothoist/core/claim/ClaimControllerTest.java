package org.bergamothoist.core.claim;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.bergamothoist.core.log.LogRecordFixtures.FIRST;
import static org.bergamothoist.core.log.LogRecordFixtures.SECOND;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import org.bergamothoist.core.claim.ClaimResult.Granted;
import org.bergamothoist.core.claim.ClaimResult.HeldByOther;
import org.bergamothoist.core.claim.ClaimResult.IdentifierExpired;
import org.bergamothoist.core.claim.ClaimResult.LogUnavailable;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.log.InMemoryLog;
import org.bergamothoist.core.log.LogRecord.ClaimBatch;
import org.bergamothoist.core.log.LogRecord.ClaimKey;
import org.bergamothoist.core.log.LogRecordFixtures;
import org.bergamothoist.core.log.LogTail;
import org.bergamothoist.core.log.LogTailSettings;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.DisplayName;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ClaimControllerTest {

    private static final Duration DEADLINE = Duration.ofSeconds(1);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final InMemoryLog log = new InMemoryLog(time);
    private final Daemon first = new Daemon(FIRST);
    private final Daemon second = new Daemon(SECOND);

    /** One daemon that claims requests. */
    private final class Daemon {
        private final InMemoryLog.Client client = log.client();
        private final SharedState state = new SharedState();
        private final LogTail tail;
        private final ClaimController controller;

        Daemon(DaemonId id) {
            Random random = new Random(id.hashCode());
            tail = new LogTail(client, state, time, time, random, LogTailSettings.DEFAULT);
            controller = new ClaimController(id, client, tail, state, time, time, random);
            tail.start(Duration.ZERO);
            time.advanceMillis(1);
        }

        CompletableFuture<ClaimResult> claim(ClaimKey key) {
            return controller.claim(key, DEADLINE).toCompletableFuture();
        }
    }

    private ClaimKey key(long number) {
        return LogRecordFixtures.claimKey(time.instant(), number);
    }

    private ClaimBatch batch(int index) {
        return (ClaimBatch) log.entries().get(index).record();
    }

    @Test
    @DisplayName("guards against a request that runs twice because it is submitted more than once")
    void onlyOneConcurrentClaimIsGranted() {
        ClaimKey key = key(1);
        List<CompletableFuture<ClaimResult>> results =
                List.of(first.claim(key), first.claim(key), second.claim(key), second.claim(key));
        time.advance(DEADLINE);

        assertThat(results).extracting(CompletableFuture::join).contains(new HeldByOther(false));
        assertThat(results)
                .extracting(CompletableFuture::join)
                .hasAtLeastOneElementOfType(Granted.class);
        assertThat(results.stream().filter(result -> result.join() instanceof Granted)).hasSize(1);
    }

    @Test
    @DisplayName("guards against losing a claim because the response to its append was lost")
    void claimWithLostAppendResponseIsGranted() {
        first.client.losesResponses = true;
        CompletableFuture<ClaimResult> result = first.claim(key(1));
        time.advance(DEADLINE);

        assertThat(result.join()).isEqualTo(new Granted(1));
        assertThat(first.client.appends).isEqualTo(1);
    }

    @Test
    @DisplayName("guards against an abandoned claim that blocks retries or is used after all")
    void abandonedClaimIsReleasedWhenGrantedLater() {
        ClaimKey key = key(1);
        first.client.lateAppendDelay = Duration.ofSeconds(5);
        CompletableFuture<ClaimResult> abandoned = first.claim(key);
        time.advance(DEADLINE);
        assertThat(abandoned.join()).isEqualTo(new LogUnavailable());

        first.client.lateAppendDelay = null;
        time.advance(Duration.ofSeconds(6));
        assertThat(batch(1).releases()).containsExactly(key);

        CompletableFuture<ClaimResult> duplicate = second.claim(key);
        time.advance(DEADLINE);
        assertThat(duplicate.join()).isInstanceOf(Granted.class);
    }

    @Test
    @DisplayName("guards against a late grant of an earlier submission being used by a later one")
    void grantOfAnotherBatchIsNotUsed() {
        ClaimKey key = key(1);
        first.client.lateAppendDelay = Duration.ofMillis(1_500);
        first.claim(key);
        time.advance(DEADLINE);
        first.client.lateAppendDelay = Duration.ofMillis(501);
        CompletableFuture<ClaimResult> duplicate = first.claim(key);
        time.advanceMillis(100);
        first.client.lateAppendDelay = null;
        time.advance(DEADLINE.multipliedBy(2));

        assertThat(duplicate.join()).isEqualTo(new HeldByOther(false));
        assertThat(first.state.claim(key)).isEmpty();
        assertThatThrownBy(() -> first.controller.release(key))
                .isInstanceOf(IllegalStateException.class);
    }

    @Test
    @DisplayName(
            "guards against an abandoned claim that stays held after a snapshot skips its record")
    void abandonedClaimIsReleasedAfterRestore() {
        ClaimKey key = key(1);
        first.client.readsHang = true;
        CompletableFuture<ClaimResult> result = first.claim(key);
        time.advance(DEADLINE);
        assertThat(result.join()).isEqualTo(new LogUnavailable());
        first.client.readsHang = false;
        first.tail.acceptSnapshot(second.state.snapshot(), Duration.ZERO, Duration.ZERO);
        time.advance(DEADLINE.multipliedBy(3));

        assertThat(first.state.claim(key)).isEmpty();
        assertThat(log.entries()).hasSize(2);
    }

    @Test
    @DisplayName("guards against waiting for a log that is known to be unavailable")
    void claimFailsAtOnceWhileTheLogIsUnavailable() {
        first.client.down = true;
        time.advance(Duration.ofSeconds(2));
        assertThat(first.claim(key(1))).isCompletedWithValue(new LogUnavailable());
        assertThat(first.client.appends).isZero();
    }

    @ParameterizedTest
    @CsvSource({"-601, true", "-599, false", "59, false", "61, true"})
    @DisplayName("guards against a duplicate request whose earlier claim was already removed")
    void identifierOutsideWindowIsRefused(long createdAfterSeconds, boolean refused) {
        ClaimKey key =
                LogRecordFixtures.claimKey(time.instant().plusSeconds(createdAfterSeconds), 1);
        CompletableFuture<ClaimResult> result = first.claim(key);
        time.advance(DEADLINE);
        assertThat(result.join() instanceof IdentifierExpired).isEqualTo(refused);
    }

    @Test
    @DisplayName(
            "guards against telling a duplicate that the outcome of an answered request is unknown")
    void outcomeAndReleaseAreVisibleToOtherDaemons() {
        ClaimKey answered = key(1);
        ClaimKey released = key(2);
        first.claim(answered);
        first.claim(released);
        time.advance(DEADLINE);
        first.controller.recordOutcome(answered, true);
        first.controller.release(released);
        time.advance(DEADLINE);

        assertThat(second.claim(answered)).isCompletedWithValue(new HeldByOther(true));
        CompletableFuture<ClaimResult> duplicate = second.claim(released);
        time.advance(DEADLINE);
        assertThat(duplicate.join()).isInstanceOf(Granted.class);
        assertThatThrownBy(() -> first.controller.release(answered))
                .isInstanceOf(IllegalStateException.class);
    }

    @Test
    @DisplayName("guards against more appends than the log can handle from all daemons")
    void appendsAreBatchedAndRateLimited() {
        List<CompletableFuture<ClaimResult>> results = new ArrayList<>();
        for (int number = 0; number < 1_000; number++) {
            results.add(first.claim(key(number)));
            time.advanceMillis(1);
        }
        time.advance(DEADLINE);

        assertThat(results).allMatch(result -> result.join() instanceof Granted);
        assertThat(first.client.appends).isLessThanOrEqualTo(11);
        for (int index = 0; index < log.entries().size(); index++) {
            assertThat(batch(index).claims()).hasSizeLessThanOrEqualTo(256);
        }
    }
}
