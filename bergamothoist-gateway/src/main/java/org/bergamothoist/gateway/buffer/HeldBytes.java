package org.bergamothoist.gateway.buffer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.Comparator;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;

/**
 * Bounds the bytes that the process holds for all its peers together: bodies of callers, events of
 * targets that are not complete yet, and answers to its own calls. Confined to the event loop.
 *
 * <p>Beyond the limit those are refused first that hold most, so that peers that hold little are
 * served on.
 */
public final class HeldBytes {

    /** Size up to which bytes are held in any case; connections are bounded by their number. */
    private static final int ALWAYS_HELD_BYTES = 16 << 10;

    private final long limit;
    private final Counter refusals;
    private final DecisionLog log;
    private final Set<Account> refusable = new HashSet<>();
    private long total;

    /**
     * Creates an empty record.
     *
     * @param limit limit of the sum, in bytes
     */
    public HeldBytes(long limit, MetricRegistry metrics, DecisionLog log) {
        this.limit = limit;
        this.refusals = metrics.counter("held-bytes-refused");
        this.log = log;
        metrics.gauge("held-bytes", () -> () -> total);
    }

    /**
     * Opens an account for one peer.
     *
     * @param holder what holds the bytes, for the log
     * @param onRefused called when the bytes must be given up because others need the memory
     */
    public Account open(String holder, Runnable onRefused) {
        return new Account(holder, onRefused);
    }

    /** Refuses the largest accounts until the rest is within the limit. */
    private void refuseLargest(Account updated) {
        while (total > limit) {
            Optional<Account> largest =
                    refusable.stream().max(Comparator.comparingLong(account -> account.bytes));
            if (largest.isEmpty()) {
                return;
            }
            long before = total;
            long bytes = largest.get().bytes;
            largest.get().release();
            refusals.inc();
            log.write(
                    DecisionKind.MEMORY_EXHAUSTED,
                    largest.get().holder,
                    () -> "bytes=" + bytes + " total=" + before + " limit=" + limit,
                    "refused");
            if (largest.get() != updated) {
                largest.get().onRefused.run();
            }
        }
    }

    /** The bytes that are held for one peer. */
    public final class Account {

        private final String holder;
        private final Runnable onRefused;
        private long bytes;
        private boolean kept;

        private Account(String holder, Runnable onRefused) {
            this.holder = holder;
            this.onRefused = onRefused;
        }

        /**
         * Changes the number of bytes that are held. Returns whether they may be; if not, the
         * caller gives them up.
         */
        public boolean update(long newBytes) {
            total += newBytes - bytes;
            bytes = newBytes;
            if (bytes > ALWAYS_HELD_BYTES && !kept) {
                refusable.add(this);
            } else {
                refusable.remove(this);
            }
            refuseLargest(this);
            return bytes == newBytes;
        }

        /** Keeps the bytes until they are released, since they can no longer be given up. */
        public void keep() {
            kept = true;
            refusable.remove(this);
        }

        /** Records that the bytes are no longer held. */
        public void release() {
            total -= bytes;
            bytes = 0;
            refusable.remove(this);
        }
    }
}
