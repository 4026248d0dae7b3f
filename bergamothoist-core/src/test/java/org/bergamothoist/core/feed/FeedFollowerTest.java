package org.bergamothoist.core.feed;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FeedFollowerTest implements FeedSource, FeedFollower.Observer {

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final List<String> calls = new ArrayList<>();
    private final List<String> notifications = new ArrayList<>();
    private final List<Instant> completeUntils = new ArrayList<>();
    private final Deque<CompletableFuture<Page>> pages = new ArrayDeque<>();
    private final Deque<CompletableFuture<Listing>> listings = new ArrayDeque<>();
    private boolean wanted = true;
    private final FeedFollower follower =
            new FeedFollower(
                    Feed.OPERATOR,
                    this,
                    () ->
                            new FeedFollower.PollSettings(
                                    Duration.ofMillis(10), Duration.ofMillis(100)),
                    time,
                    time,
                    () -> 1.0,
                    this,
                    () -> wanted);

    @Override
    public CompletionStage<Page> read(Feed feed, long from, Duration wait) {
        calls.add("read " + from);
        return pages.isEmpty() ? new CompletableFuture<>() : pages.poll();
    }

    @Override
    public CompletionStage<Listing> list(Feed feed) {
        calls.add("list");
        return listings.isEmpty() ? new CompletableFuture<>() : listings.poll();
    }

    @Override
    public void onListing(Feed feed, Listing listing, Instant completeUntil) {
        notifications.add("listing " + listing.end().offset());
    }

    @Override
    public void onPage(Feed feed, Page page, Instant completeUntil) {
        completeUntils.add(completeUntil);
        notifications.add("page " + page.records().size());
    }

    @Override
    public void onUnavailable(Feed feed, Throwable cause) {
        notifications.add("unavailable");
    }

    @Override
    public void onAvailable(Feed feed) {
        notifications.add("available");
    }

    private static FeedRecord record(long offset) {
        return new FeedRecord("k", offset, Optional.of(new byte[] {1}));
    }

    @Test
    void readsFromTheEndOfTheListing() {
        listings.add(CompletableFuture.completedFuture(new Listing(List.of(), 7)));
        pages.add(CompletableFuture.completedFuture(new Page(List.of(record(7)), 8)));
        follower.start();
        time.advanceMillis(30);
        assertThat(calls).containsExactly("list", "read 7", "read 8");
        assertThat(notifications).containsExactly("available", "listing 7", "page 1");
    }

    @Test
    void listsAgainWhenRecordsHaveExpired() {
        listings.add(CompletableFuture.completedFuture(new Listing(List.of(), 7)));
        pages.add(
                CompletableFuture.failedFuture(
                        new CompletionException(new ExpiredOffsetException(Feed.OPERATOR, 7))));
        listings.add(CompletableFuture.completedFuture(new Listing(List.of(), 90)));
        follower.start();
        time.advanceMillis(30);
        assertThat(calls).containsExactly("list", "read 7", "list", "read 90");
    }

    @Test
    void reportsAnOutageOnceAndContinuesAtTheSameOffset() {
        listings.add(CompletableFuture.completedFuture(new Listing(List.of(), 7)));
        pages.add(CompletableFuture.failedFuture(new IllegalStateException("down")));
        pages.add(CompletableFuture.failedFuture(new IllegalStateException("down")));
        pages.add(CompletableFuture.completedFuture(new Page(List.of(), 7)));
        follower.start();
        time.advanceMillis(1_000);
        assertThat(calls).startsWith("list", "read 7", "read 7", "read 7");
        assertThat(notifications)
                .containsExactly("available", "listing 7", "unavailable", "available", "page 0");
        assertThat(follower.isReachable()).isTrue();
    }

    /** Guards against a response that waited in a paused process and counts as a recent read. */
    @ParameterizedTest
    @CsvSource({"false,40,40", "false,100,100", "false,5000,100", "true,40,0", "true,5000,0"})
    void pageCoversTheTimeUntilTheSourceComputedIt(
            boolean recordFound, long handledAfter, long coveredMilliseconds) {
        CompletableFuture<Page> pending = new CompletableFuture<>();
        listings.add(CompletableFuture.completedFuture(new Listing(List.of(), 7)));
        pages.add(pending);
        follower.start();
        time.advanceMillis(10);
        Instant sentAt = time.instant();
        time.advanceMillis(handledAfter);
        pending.complete(new Page(recordFound ? List.of(record(7)) : List.of(), 8));
        assertThat(completeUntils).containsExactly(sentAt.plusMillis(coveredMilliseconds));
    }

    /**
     * Guards against an answer, or a scheduled call with an offset, of the time before the store
     * fell back.
     *
     * @param milliseconds time of the restart after the start
     */
    @ParameterizedTest
    @CsvSource({"LISTING,0", "PAGE,15", "PAUSE,5", "RETRY,5", "FAILED_READ,15"})
    void restartIgnoresCallsThatWereMadeBefore(String inProgress, long milliseconds) {
        CompletableFuture<Listing> listing = new CompletableFuture<>();
        CompletableFuture<Page> page = new CompletableFuture<>();
        if (inProgress.equals("RETRY")) {
            listing.completeExceptionally(new IllegalStateException("refused"));
        } else if (!inProgress.equals("LISTING")) {
            listing.complete(new Listing(List.of(), 7));
        }
        listings.add(listing);
        pages.add(page);
        follower.start();
        time.advanceMillis(milliseconds);
        calls.clear();
        notifications.clear();
        follower.restart();
        listing.complete(new Listing(List.of(), 7));
        if (inProgress.equals("FAILED_READ")) {
            page.completeExceptionally(new ExpiredOffsetException(Feed.OPERATOR, 7));
        }
        page.complete(new Page(List.of(record(7)), 8));
        time.advanceMillis(2_000);
        assertThat(calls).containsExactly("list");
        assertThat(notifications).isEmpty();
    }

    @Test
    void restartedFollowerReadsFromTheEndOfTheNewListing() {
        listings.add(CompletableFuture.completedFuture(new Listing(List.of(), 7)));
        listings.add(CompletableFuture.completedFuture(new Listing(List.of(), 3)));
        follower.start();
        time.advanceMillis(20);
        follower.restart();
        time.advanceMillis(20);
        assertThat(calls).containsExactly("list", "read 7", "list", "read 3");
    }

    /** Guards against reads of a daemon that gets the records from others, or has not started. */
    @ParameterizedTest
    @CsvSource({"true,1", "false,0"})
    void restartDoesNotBeginReads(boolean suspended, int expectedCalls) {
        if (suspended) {
            listings.add(CompletableFuture.completedFuture(new Listing(List.of(), 7)));
            wanted = false;
            follower.start();
            time.advanceMillis(20);
        }
        follower.restart();
        time.advanceMillis(1_000);
        assertThat(calls).hasSize(expectedCalls);
        assertThat(follower.isSuspended()).isEqualTo(suspended);
    }

    /**
     * Guards against a daemon that ceases to retry a failed read, or reads on from an old offset.
     */
    @Test
    void suspendsOnlyAfterASuccessAndResumesWithAListing() {
        listings.add(CompletableFuture.failedFuture(new IllegalStateException("refused")));
        listings.add(CompletableFuture.completedFuture(new Listing(List.of(), 7)));
        wanted = false;
        follower.start();
        time.advanceMillis(1_000);
        assertThat(calls).containsExactly("list", "list");
        assertThat(follower.isSuspended()).isTrue();
        wanted = true;
        follower.resume();
        assertThat(calls).containsExactly("list", "list", "list");
    }
}
