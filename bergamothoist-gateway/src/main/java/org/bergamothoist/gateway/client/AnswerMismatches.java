package org.bergamothoist.gateway.client;

import com.codahale.metrics.MetricRegistry;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Supplier;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;

/**
 * Logs and counts what peers send that is not the answer to the request in progress. Confined to
 * the event loop.
 */
final class AnswerMismatches {

    /** Number of addresses whose counters are kept; those that are counted first are given up. */
    private static final int MAXIMUM_ADDRESSES = 256;

    /** Number of mismatches within {@link #REPETITION_WINDOW} from which they are repeated. */
    private static final int REPEATED_MISMATCHES = 3;

    /** Long enough for several requests to a target with little traffic. */
    private static final Duration REPETITION_WINDOW = Duration.ofSeconds(10);

    /** Answers for each mismatch above which these are too rare to count as repeated. */
    private static final int ANSWERS_PER_RARE_MISMATCH = 100;

    /** A way in which bytes of a peer do not match a request. */
    enum Kind {
        /** Bytes came while no answer was expected. */
        BYTES_BEHIND_ANSWER(DecisionKind.BYTES_BEHIND_ANSWER, false, "connection closed"),
        /** A whole answer names another request. */
        OTHER_REQUEST(DecisionKind.ANSWER_TO_OTHER_REQUEST, false, "answer ignored"),
        /** An answer that names no request came on a connection that had carried others. */
        NO_IDENTIFIER(DecisionKind.ANSWER_WITHOUT_IDENTIFIER, true, "answer rejected"),
        /** A head contains the start of another one. */
        JOINED_HEADS(DecisionKind.ANSWER_HEADS_JOINED, true, "answer rejected");

        private final DecisionKind event;
        private final boolean failsRequest;
        private final String outcome;

        Kind(DecisionKind event, boolean failsRequest, String outcome) {
            this.event = event;
            this.failsRequest = failsRequest;
            this.outcome = outcome;
        }

        /** Returns whether the request in progress fails by it. */
        boolean failsRequest() {
            return failsRequest;
        }

        private String metric(String peer) {
            return "answer-mismatches." + peer + "." + name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * A connection on which a mismatch was found.
     *
     * @param address IP address and port of the peer
     * @param peer name of the peer, such as the identifier of a target
     * @param number number of the connection in its pool
     * @param requests number of requests that it has carried
     * @param lastRequest identifier of the last one, or an empty string
     */
    record Origin(String address, String peer, long number, int requests, String lastRequest) {}

    private final MetricRegistry metrics;
    private final DecisionLog log;
    private final InstantSource clock;
    private final Map<String, PeerHistory> histories = new LinkedHashMap<>();

    /** When a mismatch was found, and after how many answers since the first one. */
    private record Occurrence(Instant at, long answers) {}

    /** A peer and its newest mismatches, {@link #REPEATED_MISMATCHES} of them at most. */
    private static final class PeerHistory {

        private final String peer;
        private final Deque<Occurrence> newest = new ArrayDeque<>();
        private long answers;

        private PeerHistory(String peer) {
            this.peer = peer;
        }

        private void add(Instant now) {
            newest.addLast(new Occurrence(now, answers));
            if (newest.size() > REPEATED_MISMATCHES) {
                newest.removeFirst();
            }
        }

        private boolean isRepeated() {
            Occurrence first = newest.getFirst();
            Occurrence last = newest.getLast();
            return newest.size() == REPEATED_MISMATCHES
                    && last.at().isBefore(first.at().plus(REPETITION_WINDOW))
                    && last.answers() - first.answers()
                            <= REPEATED_MISMATCHES * ANSWERS_PER_RARE_MISMATCH;
        }
    }

    AnswerMismatches(InstantSource clock, MetricRegistry metrics, DecisionLog log) {
        this.clock = clock;
        this.metrics = metrics;
        this.log = log;
    }

    /** Records a mismatch; returns whether the peer repeats them. */
    boolean record(Kind kind, Origin origin, Supplier<String> details) {
        PeerHistory history = history(origin);
        history.add(clock.instant());
        String metric = kind.metric(origin.peer());
        metrics.counter(metric).inc();
        log.write(
                kind.event,
                origin.lastRequest(),
                () ->
                        details.get()
                                + " target="
                                + origin.peer()
                                + " address="
                                + origin.address()
                                + " connection="
                                + origin.number()
                                + " requests="
                                + origin.requests()
                                + " count="
                                + metrics.counter(metric).getCount(),
                kind.outcome);
        return history.isRepeated();
    }

    /** Counts an answer of a peer that matched its request. */
    void onAnswered(String address) {
        PeerHistory history = histories.get(address);
        if (history != null) {
            history.answers++;
        }
    }

    private PeerHistory history(Origin origin) {
        PeerHistory before = histories.get(origin.address());
        if (before != null && before.peer.equals(origin.peer())) {
            return before;
        }
        forget(origin.address());
        PeerHistory history = new PeerHistory(origin.peer());
        histories.put(origin.address(), history);
        if (histories.size() > MAXIMUM_ADDRESSES) {
            forget(histories.keySet().iterator().next());
        }
        return history;
    }

    /** Gives up the counters of an address whose owner is gone. */
    void forget(String address) {
        PeerHistory history = histories.remove(address);
        if (history == null) {
            return;
        }
        for (Kind kind : Kind.values()) {
            metrics.remove(kind.metric(history.peer));
        }
    }
}
