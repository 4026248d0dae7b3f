package org.bergamothoist.measure.check;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.log.SharedState;
import org.bergamothoist.core.log.SharedStateSnapshot;
import org.bergamothoist.core.sheet.OrganisationState;
import org.bergamothoist.core.time.VirtualTimeScheduler;

/** Checks that sheets in force are used, and that nothing reverts (G9). */
final class SheetOracle {

    private static final Duration BOUND = Duration.ofSeconds(4);

    private final VirtualTimeScheduler time;
    private final RunLog log;
    private final FakeLog reference;
    private final Map<OrganisationId, Map<Long, Instant>> inForce = new HashMap<>();
    private final Map<String, Map<OrganisationId, Long>> seen = new HashMap<>();

    SheetOracle(VirtualTimeScheduler time, RunLog log, FakeLog reference) {
        this.time = time;
        this.log = log;
        this.reference = reference;
    }

    /** Notes that an operator was told that the sheet at an offset is in force. */
    void inForce(OrganisationId organisation, long offset) {
        long version = reference.version(organisation, offset);
        inForce.computeIfAbsent(organisation, key -> new HashMap<>())
                .putIfAbsent(version, time.instant());
        log.count("sheets-in-force");
    }

    /** Takes what a daemon says of the organisations, and returns the version of one. */
    long observe(String daemon, List<OrganisationState> states, OrganisationId organisation) {
        Map<OrganisationId, Long> before = seen.computeIfAbsent(daemon, key -> new HashMap<>());
        long version = 0;
        for (OrganisationState state : states) {
            OrganisationId id = state.entry().organisation();
            long last = before.getOrDefault(id, 0L);
            log.check(
                    Property.SHEET_DURABILITY,
                    state.version() >= last,
                    daemon
                            + " went back from version "
                            + last
                            + " of "
                            + id
                            + " to "
                            + state.version());
            before.put(id, state.version());
            if (id.equals(organisation)) {
                version = state.version();
            }
        }
        return version;
    }

    /** Checks the version under which a daemon accepted a request. */
    void accepted(String daemon, OrganisationId organisation, long version, Instant at) {
        inForce.getOrDefault(organisation, Map.of())
                .forEach(
                        (newer, since) ->
                                log.check(
                                        Property.SHEET_DURABILITY,
                                        version >= newer || !at.isAfter(since.plus(BOUND)),
                                        daemon
                                                + " accepted a request of "
                                                + organisation
                                                + " under version "
                                                + version
                                                + " at "
                                                + at
                                                + ", version "
                                                + newer
                                                + " was in force at "
                                                + since));
    }

    /** Compares a daemon's fold with the fold of the whole log. */
    void snapshot(String daemon, SharedStateSnapshot snapshot) {
        String digest = SharedState.digest(snapshot);
        reference
                .digest(snapshot.appliedOffset())
                .ifPresent(
                        expected -> {
                            log.count("folds-compared");
                            log.check(
                                    Property.SHEET_DURABILITY,
                                    expected.equals(digest),
                                    daemon
                                            + " has another fold at offset "
                                            + snapshot.appliedOffset());
                        });
    }
}
