package org.bergamothoist.gateway.control;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.lease.LeaseTopic;
import org.bergamothoist.core.lease.OrderLease;
import org.bergamothoist.core.rollout.DesiredWeightVersions;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.Test;

class LoggedVersionDatesTest {

    private static final Duration LEASE = Duration.ofSeconds(3);
    private static final Duration ASSUMED_AGE = Duration.ofMinutes(1);

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final CopiedTopic topic = new CopiedTopic();

    /** A topic with one record, which a return from an older copy replaces. */
    private static final class CopiedTopic implements LeaseTopic {

        private Tail tail = new Tail(Optional.empty(), 0, 1);

        @Override
        public CompletionStage<Tail> read() {
            return CompletableFuture.completedFuture(tail);
        }

        @Override
        public CompletionStage<OptionalLong> append(Holding holding, long end) {
            if (end != tail.end()) {
                return CompletableFuture.completedFuture(OptionalLong.empty());
            }
            tail = new Tail(Optional.of(holding), end + 1, tail.era());
            return CompletableFuture.completedFuture(OptionalLong.of(end + 1));
        }
    }

    /** A daemon that knows versions 1 and 2 of a model. */
    private final class Daemon {

        private final DesiredWeightVersions versions = new DesiredWeightVersions(time, ASSUMED_AGE);
        private final OrderLease lease;

        private Daemon(String name) {
            lease =
                    new OrderLease(
                            name,
                            topic,
                            new LoggedVersionDates(
                                    versions, time, (kind, subject, inputs, outcome) -> {}),
                            LEASE,
                            time,
                            (kind, subject, inputs, outcome) -> {});
            versions.add("m", 1, Optional.empty());
        }

        private void acquire() {
            for (int step = 0; step < 100; step++) {
                lease.acquireOrRenew();
                time.advanceMillis(100);
            }
        }
    }

    /**
     * Guards against versions that count as older than they are at a daemon that starts when all
     * others have ended, because the dates were lost with the records of the lease.
     */
    @Test
    void holderWritesDatesAgainThatTheCopyLacks() {
        Daemon holder = new Daemon("holder");
        holder.acquire();
        LeaseTopic.Tail copy = topic.tail;
        Instant requestedAt = time.instant();
        holder.versions.add("m", 2, Optional.of(requestedAt));
        holder.acquire();
        topic.tail = new LeaseTopic.Tail(copy.newest(), copy.end(), 2);
        holder.lease.onStoreFallback();
        holder.acquire();

        Daemon started = new Daemon("started");
        started.versions.add("m", 2, Optional.empty());
        started.lease.watch();
        assertThat(started.versions.knownDates())
                .extracting(DesiredWeightVersions.VersionDate::version)
                .contains(2);
    }

    /** Guards against dates that a daemon forgets because the copy's record lacks them. */
    @Test
    void datesAreKeptThatTheCopyLacks() {
        Daemon reader = new Daemon("reader");
        reader.versions.add("m", 2, Optional.of(time.instant()));
        topic.tail = new LeaseTopic.Tail(Optional.empty(), 0, 2);
        reader.lease.onStoreFallback();
        reader.lease.watch();
        assertThat(reader.versions.knownDates()).hasSize(1);
    }
}
