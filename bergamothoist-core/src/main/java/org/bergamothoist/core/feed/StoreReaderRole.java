package org.bergamothoist.core.feed;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;
import org.bergamothoist.core.prefix.RendezvousHash;

/**
 * Decides whether a daemon reads the store itself, and which reader it gets the records from if it
 * does not. It begins to read at once when there is a reason, and ceases only after the reasons
 * have been absent for {@link #HOLD}. Confined to the control thread.
 */
public final class StoreReaderRole {

    /**
     * Time for which a daemon reads on without a reason, so that a reader that misses a report does
     * not change the readers. It covers the liveness timeout of daemons that take callers'
     * requests.
     */
    static final Duration HOLD = Duration.ofSeconds(3);

    /**
     * Time for which a reader that failed or lagged is not asked. After it, a reader that died is
     * no longer among the candidates.
     */
    static final Duration AVOIDANCE = Duration.ofSeconds(5);

    private final String self;
    private final String dataCentre;
    private final Limits limits;
    private final InstantSource clock;
    private final DecisionLog log;
    private final Map<Feed, Instant> servedUntil = new EnumMap<>(Feed.class);
    private final Map<String, Instant> avoidedUntil = new HashMap<>();
    private List<StoreReaderAssignment.Candidate> readers = List.of();
    private boolean allRead = true;
    private Optional<Reason> reason = Optional.of(Reason.STARTING);
    private boolean reading = true;
    private boolean current = true;
    private Instant lastNeededAt;

    /** Why a daemon reads the store itself. */
    public enum Reason {
        /** It has started recently, and other daemons' reports may be missing. */
        STARTING,
        /** So few daemons are alive that all read. */
        FEW_DAEMONS,
        /** It holds the lease for orders to engines. */
        ORDER_HOLDER,
        /** It is one of the readers. */
        READER,
        /** No reader brings records that are new enough. */
        NOT_SERVED
    }

    /**
     * Ages of records by feed.
     *
     * @param served age of relayed records above which this daemon reads itself
     * @param lagging age of a reader's answer above which another reader is asked
     */
    public record Limits(Map<Feed, Duration> served, Map<Feed, Duration> lagging) {

        public Limits {
            served = Map.copyOf(served);
            lagging = Map.copyOf(lagging);
        }
    }

    /**
     * What the decision depends on besides the readers.
     *
     * @param starting whether reports of other daemons may still be missing
     * @param orderHolder whether this daemon holds the lease for orders
     * @param storeReachable whether this daemon's last own reads succeeded
     * @param completeUntil time up to which all records of a feed are known; no entry if unknown
     */
    public record Situation(
            boolean starting,
            boolean orderHolder,
            boolean storeReachable,
            Map<Feed, Instant> completeUntil) {}

    /** Creates the role of a daemon that starts, and reads. */
    public StoreReaderRole(
            String self, String dataCentre, Limits limits, InstantSource clock, DecisionLog log) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.limits = limits;
        this.clock = clock;
        this.log = log;
        this.lastNeededAt = clock.instant();
    }

    /**
     * Replaces the readers.
     *
     * @param allRead whether so few daemons are alive that all read
     */
    public void setReaders(List<StoreReaderAssignment.Candidate> chosen, boolean allRead) {
        boolean changed = !allRead && !names(chosen).equals(names(readers));
        this.readers = List.copyOf(chosen);
        this.allRead = allRead;
        if (changed) {
            write("readers changed");
        }
    }

    private static String names(List<StoreReaderAssignment.Candidate> readers) {
        return readers.stream()
                .map(StoreReaderAssignment.Candidate::name)
                .collect(Collectors.joining(","));
    }

    /** Decides again; to be called often and after each answer of a reader. */
    public void update(Situation situation) {
        Instant now = clock.instant();
        Optional<Reason> before = reason;
        boolean readBefore = reading;
        reason = reason(situation, now);
        current = isNewerThan(limits.served(), situation.completeUntil(), now);
        if (reason.isPresent()) {
            lastNeededAt = now;
            reading = true;
        } else if (situation.storeReachable() && now.isAfter(lastNeededAt.plus(HOLD))) {
            reading = false;
        }
        if (reading != readBefore || reading && reason.isPresent() && !reason.equals(before)) {
            write(reading ? "reads the store" : "gets records from readers");
        }
    }

    private Optional<Reason> reason(Situation situation, Instant now) {
        if (situation.starting()) {
            return Optional.of(Reason.STARTING);
        }
        if (allRead) {
            return Optional.of(Reason.FEW_DAEMONS);
        }
        // A reader that holds the lease serves the others too, and reads at a reader's pace.
        if (readers.stream().anyMatch(reader -> reader.name().equals(self))) {
            return Optional.of(Reason.READER);
        }
        if (situation.orderHolder()) {
            return Optional.of(Reason.ORDER_HOLDER);
        }
        return isNewerThan(limits.served(), servedUntil, now)
                ? Optional.empty()
                : Optional.of(Reason.NOT_SERVED);
    }

    private static boolean isNewerThan(
            Map<Feed, Duration> ages, Map<Feed, Instant> completeUntil, Instant now) {
        return ages.entrySet().stream()
                .allMatch(
                        age ->
                                completeUntil
                                        .getOrDefault(age.getKey(), Instant.MIN)
                                        .isAfter(now.minus(age.getValue())));
    }

    /** Returns whether this daemon reads the store itself. */
    public boolean isReading() {
        return reading;
    }

    /** Returns whether other daemons get records from this one. */
    public boolean isServing() {
        return reason.filter(Reason.READER::equals).isPresent();
    }

    /**
     * Returns whether this daemon asks readers for records. One that reads for the others asks them
     * while its own reads bring nothing, before these have failed.
     */
    public boolean isPolling() {
        return reason.isEmpty()
                || reason.get() == Reason.NOT_SERVED
                || !current && (isServing() || reason.get() == Reason.ORDER_HOLDER);
    }

    /**
     * Returns the reader to ask: one in the same data centre, or another one if those have failed.
     * Daemons spread over the readers of a data centre.
     */
    public Optional<StoreReaderAssignment.Candidate> nextSource() {
        Instant now = clock.instant();
        avoidedUntil.values().removeIf(until -> !until.isAfter(now));
        return readers.stream()
                .filter(reader -> !reader.name().equals(self))
                .filter(reader -> !avoidedUntil.containsKey(reader.name()))
                .min(
                        Comparator.comparing(
                                        (StoreReaderAssignment.Candidate reader) ->
                                                !reader.dataCentre().equals(dataCentre))
                                .thenComparing(
                                        reader -> RendezvousHash.score(reader.name(), self)));
    }

    /**
     * Records an answer of a reader; returns whether its records are new enough.
     *
     * @param completeUntil time up to which all records of a feed are known after the answer; no
     *     entry if unknown
     */
    public boolean onAnswer(String reader, Map<Feed, Instant> completeUntil) {
        completeUntil.forEach(
                (feed, until) -> servedUntil.merge(feed, until, (a, b) -> a.isAfter(b) ? a : b));
        Instant now = clock.instant();
        boolean answerCurrent = isNewerThan(limits.lagging(), completeUntil, now);
        if (!answerCurrent) {
            avoid(reader);
        }
        return answerCurrent;
    }

    /** Records that a reader did not answer. */
    public void onFailure(String reader) {
        avoid(reader);
    }

    private void avoid(String reader) {
        avoidedUntil.put(reader, clock.instant().plus(AVOIDANCE));
    }

    private void write(String outcome) {
        log.write(
                DecisionKind.STORE_READERS_CHANGED,
                self,
                () ->
                        "reason="
                                + reason.map(Reason::name).orElse("NONE")
                                + " readers="
                                + names(readers),
                outcome);
    }
}
