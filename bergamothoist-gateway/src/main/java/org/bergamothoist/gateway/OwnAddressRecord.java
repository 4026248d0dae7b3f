package org.bergamothoist.gateway;

import java.time.Duration;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import java.util.function.DoubleSupplier;
import java.util.function.Supplier;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.time.Jitter;
import org.bergamothoist.core.time.Scheduler;

/**
 * Keeps the address of this daemon in the platform's store: writes it until the store has confirmed
 * it, and again when the store has come back from a copy without it. Confined to the event loop.
 */
final class OwnAddressRecord {

    /** Shortest pause before the address is written again after a failure. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

    /**
     * Time within which daemons write again what the store has lost: 300 daemons write 100 records
     * a second then, a quarter of what the store allows all of them.
     */
    static final Duration RESTORE_SPREAD = Duration.ofSeconds(3);

    private final Supplier<CompletionStage<Void>> writer;
    private final BooleanSupplier stored;
    private final Runnable onConfirmed;
    private final Scheduler scheduler;
    private final DoubleSupplier random;
    private final DecisionLog log;
    private boolean writing;
    private boolean confirmed;

    /**
     * Creates a record that is not written yet.
     *
     * @param stored returns whether the store has the record, as far as this daemon has read
     * @param onConfirmed called when the store has confirmed the record for the first time
     */
    OwnAddressRecord(
            Supplier<CompletionStage<Void>> writer,
            BooleanSupplier stored,
            Runnable onConfirmed,
            Scheduler scheduler,
            DoubleSupplier random,
            DecisionLog log) {
        this.writer = writer;
        this.stored = stored;
        this.onConfirmed = onConfirmed;
        this.scheduler = scheduler;
        this.random = random;
        this.log = log;
    }

    /** Writes the record until the store confirms it. */
    void write() {
        writing = true;
        writer.get()
                .whenComplete(
                        (done, failure) -> {
                            if (failure == null) {
                                onWritten();
                                return;
                            }
                            log.write(
                                    DecisionKind.DEPENDENCY_LOST,
                                    "store",
                                    () -> "own address: " + failure,
                                    "not published, will be repeated");
                            scheduler.schedule(retryDelay(), this::write);
                        });
    }

    /** The first confirmation is waited for before others' addresses are read. */
    private Duration retryDelay() {
        return confirmed ? Jitter.delay(RETRY_PAUSE, RESTORE_SPREAD, random) : RETRY_PAUSE;
    }

    private void onWritten() {
        writing = false;
        if (!confirmed) {
            confirmed = true;
            onConfirmed.run();
        }
    }

    /** Writes the record again unless the store has it. */
    void restore() {
        if (!writing && !stored.getAsBoolean()) {
            write();
        }
    }
}
