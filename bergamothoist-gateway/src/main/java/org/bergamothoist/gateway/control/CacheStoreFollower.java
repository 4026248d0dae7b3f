package org.bergamothoist.gateway.control;

import java.time.Duration;
import java.util.Optional;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.prefix.CacheStoreView;
import org.bergamothoist.core.route.CacheStoreTraits;
import org.bergamothoist.core.route.RouteConfiguration;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.gateway.state.Beliefs;

/** Follows the events of the store of KV cache. Confined to the event loop. */
public final class CacheStoreFollower {

    /** Longest wait of a call: the platform's bound. */
    private static final Duration WAIT = Duration.ofMillis(1_000);

    /** Pause between calls, so that events are read in batches. */
    private static final Duration PAUSE = Duration.ofMillis(200);

    /** Pause after a failure. */
    private static final Duration RETRY_PAUSE = Duration.ofMillis(500);

    private final Beliefs beliefs;
    private final CacheEvents events;
    private final Scheduler scheduler;
    private final DecisionLog log;
    private long next;
    private long epoch = -1;
    private boolean reachable;

    /** Creates a follower that does not call yet. */
    public CacheStoreFollower(
            Beliefs beliefs, CacheEvents events, Scheduler scheduler, DecisionLog log) {
        this.beliefs = beliefs;
        this.events = events;
        this.scheduler = scheduler;
        this.log = log;
    }

    /** Starts to follow. */
    public void start() {
        read();
    }

    private void read() {
        Optional<CacheStoreTraits> store =
                beliefs.configuration().current().flatMap(RouteConfiguration::cacheStore);
        if (store.isEmpty()) {
            scheduler.schedule(RETRY_PAUSE, this::read);
            return;
        }
        events.read(store.get().address(), next, WAIT)
                .whenComplete(
                        (page, failure) -> {
                            if (failure == null) {
                                accept(store.get(), page);
                            } else {
                                lost(failure);
                            }
                        });
    }

    private void accept(CacheStoreTraits store, CacheEvents.EventPage page) {
        boolean newRun = page.epoch() != epoch;
        beliefs.cacheStore()
                .accept(store.address(), page.epoch(), page.events(), store.capacityTokens());
        if (newRun || !reachable) {
            log.write(
                    DecisionKind.DEPENDENCY_REGAINED,
                    "cache-store",
                    () -> "run=" + page.epoch(),
                    "answers");
        }
        epoch = page.epoch();
        reachable = true;
        next = page.next();
        scheduler.schedule(PAUSE, this::read);
    }

    private void lost(Throwable failure) {
        beliefs.cacheStore().lost();
        if (reachable) {
            log.write(
                    DecisionKind.DEPENDENCY_LOST, "cache-store", () -> "" + failure, "no answer");
        }
        reachable = false;
        scheduler.schedule(RETRY_PAUSE, this::read);
    }
}
