package org.bergamothoist.measure.check;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.request.Outcome;

/** Compares what targets received with what callers were told (G5, G6). */
final class RequestLedger {

    /** Age on arrival from which an identifier may belong to a repeat, see decisions.md. */
    private static final Duration REPEAT_AGE = Duration.ofSeconds(2);

    private final RunLog log;
    private final Map<Key, Entry> entries = new LinkedHashMap<>();

    RequestLedger(RunLog log) {
        this.log = log;
    }

    private record Key(OrganisationId organisation, RequestId id) {}

    /** A reception by a target, and the sending whose daemon sent it. */
    private record Reception(String target, String daemon) {}

    private static final class Entry {
        private boolean nonIdempotent;
        private final List<Reception> receptions = new ArrayList<>();
        private final List<Sending> sendings = new ArrayList<>();

        private boolean isOfEarlier(Reception reception, Sending sending) {
            return sendings.stream()
                    .filter(other -> other.daemon.equals(reception.daemon))
                    .anyMatch(other -> other.number < sending.number);
        }
    }

    /** One sending of a request by its caller to one daemon incarnation. */
    static final class Sending {
        private final String daemon;
        private final int number;
        private Duration ageOnArrival = Duration.ZERO;
        private Outcome outcome;
        private boolean counted;

        private Sending(String daemon, int number) {
            this.daemon = daemon;
            this.number = number;
        }
    }

    private Entry entry(OrganisationId organisation, RequestId id) {
        return entries.computeIfAbsent(new Key(organisation, id), key -> new Entry());
    }

    void markNonIdempotent(OrganisationId organisation, RequestId id) {
        entry(organisation, id).nonIdempotent = true;
    }

    Sending sent(OrganisationId organisation, RequestId id, String daemon) {
        Entry entry = entry(organisation, id);
        Sending sending = new Sending(daemon, entry.sendings.size());
        entry.sendings.add(sending);
        return sending;
    }

    /** Notes that the daemon took the sending. */
    void arrived(Sending sending, RequestId id, Instant daemonTime) {
        sending.ageOnArrival = Duration.between(id.creationTime(), daemonTime);
    }

    /** Notes that a request has reached a target. */
    void received(OrganisationId organisation, RequestId id, String target, String daemon) {
        Entry entry = entry(organisation, id);
        entry.receptions.add(new Reception(target, daemon));
        log.check(
                Property.AT_MOST_ONCE,
                !entry.nonIdempotent || entry.receptions.size() == 1,
                "non-idempotent request " + id + " was received as " + entry.receptions);
        for (Sending sending : entry.sendings) {
            judge(id, entry, sending);
        }
    }

    /** Notes the outcome of a sending. */
    void ended(OrganisationId organisation, RequestId id, Sending sending, Outcome outcome) {
        sending.outcome = outcome;
        judge(id, entry(organisation, id), sending);
    }

    /**
     * A "not run" is a statement on this and all earlier sendings. Of an identifier that was
     * younger than 2 s on arrival it is a statement on this sending only, since docs/decisions.md
     * takes it for the first one. A later sending may run.
     */
    private void judge(RequestId id, Entry entry, Sending sending) {
        if (!(sending.outcome instanceof Outcome.NotRun notRun)) {
            return;
        }
        boolean repeat = sending.ageOnArrival.compareTo(REPEAT_AGE) >= 0;
        for (Reception reception : entry.receptions) {
            boolean covered =
                    entry.sendings.stream()
                            .filter(other -> other.daemon.equals(reception.daemon))
                            .allMatch(other -> covers(sending, other, repeat));
            if (covered) {
                log.violated(
                        Property.NOT_RUN_TRUTH,
                        "sending "
                                + sending.number
                                + " of "
                                + id
                                + " to "
                                + sending.daemon
                                + " was told "
                                + notRun.code()
                                + " not run, but "
                                + reception);
            } else if (!repeat && !sending.counted && entry.isOfEarlier(reception, sending)) {
                sending.counted = true;
                log.count("not-run-of-young-identifier-with-earlier-run");
            }
        }
    }

    private static boolean covers(Sending refused, Sending other, boolean repeat) {
        return other == refused || (repeat && other.number < refused.number);
    }
}
