package org.bergamothoist.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamothoist.core.cache.ManualScheduler;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.sheet.OrganisationLimits;
import org.junit.jupiter.api.Test;

class AdmissionControllerTest {

    private static final ModelKey MODEL = new ModelKey("atelier", ModelKey.NO_ADAPTER, "1");
    private static final OrganisationId LARGE = new OrganisationId("large");
    private static final OrganisationId SMALL = new OrganisationId("small");

    private final ManualScheduler time = new ManualScheduler();
    private final Map<OrganisationId, OrganisationLimits> limits = new HashMap<>();
    private final List<Handler> dispatched = new ArrayList<>();
    private final AdmissionController admission =
            new AdmissionController(
                    new AdmissionSettings(40, 30, Duration.ofSeconds(60), 16),
                    new AdmissionLimits() {
                        @Override
                        public OrganisationLimits limits(OrganisationId organisation) {
                            return limits.getOrDefault(
                                    organisation, new OrganisationLimits(1_000_000, 1_000, 1));
                        }

                        @Override
                        public double share(OrganisationId organisation) {
                            return 1;
                        }
                    },
                    time,
                    time);
    private int capacity;

    /**
     * Guards against a large organisation that takes all capacity because its requests came first.
     */
    @Test
    void sharesCapacityByWeightAndTokens() {
        limits.put(SMALL, new OrganisationLimits(1_000_000, 1_000, 2));
        for (int request = 0; request < 20; request++) {
            submit(LARGE, 5, 1_000, null);
        }
        for (int request = 0; request < 20; request++) {
            submit(SMALL, 5, 500, null);
        }
        dispatchWithCapacity(15);

        // Weight 2 and half the tokens give four requests for each one of the large organisation.
        assertThat(dispatchedOf(SMALL)).isBetween(11L, 13L);
    }

    /**
     * Guards against urgent requests that wait behind less urgent ones of the same organisation.
     */
    @Test
    void dispatchesMoreUrgentRequestsFirst() {
        Handler late = submit(LARGE, 9, 10, null);
        Handler urgent = submit(LARGE, 0, 10, null);
        dispatchWithCapacity(1);

        assertThat(dispatched).containsExactly(urgent).doesNotContain(late);
    }

    /**
     * Guards against unbounded queues, and against refusing small organisations because of the
     * queue of a large one.
     */
    @Test
    void fullQueueRefusesNewestRequestOfLongestQueue() {
        List<Handler> large = new ArrayList<>();
        for (int request = 0; request < 40; request++) {
            large.add(submit(LARGE, request % 2, 10, null));
        }
        Handler small = submit(SMALL, 9, 10, null);

        assertThat(admission.queued()).isEqualTo(40);
        assertThat(small.refusal).isNull();
        assertThat(large).filteredOn(handler -> handler.refusal != null).hasSize(1);
        for (int request = 0; request < 100; request++) {
            submit(LARGE, 0, 10, null);
        }
        assertThat(admission.queued()).isEqualTo(40);
    }

    /** Guards against requests that wait although they can no longer be answered in time. */
    @Test
    void refusesUnreachableDeadlinesAndExpiredRequests() {
        for (int request = 0; request < 20; request++) {
            submit(LARGE, 5, 1_000, null);
        }
        for (int second = 0; second < 4; second++) {
            time.advance(Duration.ofSeconds(1));
            dispatchWithCapacity(1);
        }
        Handler unreachable = submit(LARGE, 5, 1_000, Duration.ofSeconds(3));
        Handler queued = submit(SMALL, 5, 1_000, Duration.ofSeconds(3));

        assertThat(unreachable.refusal).isEqualTo(ErrorCode.DEADLINE_UNREACHABLE);
        assertThat(queued.refusal).as("its fair share arrives before the deadline").isNull();
        time.advance(Duration.ofSeconds(4));
        assertThat(queued.refusal).isEqualTo(ErrorCode.DEADLINE_UNREACHABLE);
        assertThat(queued.dispatches).isZero();
    }

    /** Guards against admitting more than the rate plus a burst of one second. */
    @Test
    void enforcesRateLimit() {
        limits.put(LARGE, new OrganisationLimits(10, 1_000, 1));
        capacity = 1_000;
        for (int request = 0; request < 500; request++) {
            submit(LARGE, 5, 10, null);
            time.advance(Duration.ofMillis(10));
        }
        assertThat(dispatched).hasSizeBetween(58, 60);
    }

    /**
     * Guards against too many running requests, and against a count of them that leaks or is
     * decremented twice.
     */
    @Test
    void enforcesConcurrencyLimit() {
        limits.put(LARGE, new OrganisationLimits(1_000, 2, 1));
        capacity = 100;
        for (int request = 0; request < 10; request++) {
            submit(LARGE, 5, 10, null);
        }
        assertThat(dispatched).hasSize(2);

        dispatched.get(0).ticket.close();
        dispatched.get(0).ticket.close();
        assertThat(admission.running(LARGE)).isEqualTo(2);
        assertThat(dispatched).hasSize(3);
    }

    /** Guards against a cancelled request that is dispatched later. */
    @Test
    void closedRequestIsNotDispatched() {
        Handler cancelled = submit(LARGE, 5, 10, null);
        cancelled.ticket.close();
        dispatchWithCapacity(5);

        assertThat(cancelled.dispatches).isZero();
        assertThat(admission.queued()).isZero();
    }

    private Handler submit(
            OrganisationId organisation, int priority, long tokens, Duration deadline) {
        Handler handler = new Handler(organisation);
        handler.ticket =
                admission.submit(
                        new AdmissionRequest(
                                organisation,
                                MODEL,
                                priority,
                                tokens,
                                Optional.ofNullable(deadline).map(time.instant()::plus)),
                        handler);
        return handler;
    }

    private void dispatchWithCapacity(int requests) {
        capacity = requests;
        admission.dispatchQueued();
        capacity = 0;
    }

    private long dispatchedOf(OrganisationId organisation) {
        return dispatched.stream().filter(each -> each.organisation.equals(organisation)).count();
    }

    private final class Handler implements AdmissionHandler {
        private final OrganisationId organisation;
        private AdmissionTicket ticket;
        private ErrorCode refusal;
        private int dispatches;

        private Handler(OrganisationId organisation) {
            this.organisation = organisation;
        }

        @Override
        public boolean tryDispatch() {
            if (capacity == 0) {
                return false;
            }
            capacity--;
            dispatches++;
            dispatched.add(this);
            return true;
        }

        @Override
        public void refuse(ErrorCode code, String message) {
            assertThat(dispatches).as("a refused request was not run").isZero();
            refusal = code;
        }
    }
}
