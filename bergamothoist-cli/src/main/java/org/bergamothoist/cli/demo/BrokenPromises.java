package org.bergamothoist.cli.demo;

import com.codahale.metrics.Counter;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import org.bergamothoist.cli.demo.DemonstrationResult.BrokenPromise;
import org.bergamothoist.core.timeline.Event;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timestamp;
import org.bergamothoist.daemon.DaemonInstance;
import org.bergamothoist.standin.client.Violation;

/** Collects the broken promises that callers saw and that daemons counted. */
final class BrokenPromises {

    private static final Timestamp BEGIN = new Timestamp(0, 0);
    private static final String INVARIANT = "invariant.violations.";

    private final List<DaemonInstance> daemons = new ArrayList<>();
    private final List<BrokenPromise> found = new ArrayList<>();

    /** Includes a daemon, also when it has been killed by the end. */
    void watch(DaemonInstance daemon) {
        daemons.add(daemon);
    }

    /** Adds a broken promise that neither a caller nor a daemon notices. */
    void add(String promise, String subject, String detail) {
        found.add(new BrokenPromise(promise, subject, detail, events(subject)));
    }

    /** Returns all broken promises. */
    List<BrokenPromise> all(List<Violation> violations) {
        List<BrokenPromise> all = new ArrayList<>(found);
        for (Violation violation : violations) {
            all.add(
                    new BrokenPromise(
                            violation.kind().name(),
                            violation.requestId(),
                            violation.detail(),
                            events(violation.requestId())));
        }
        daemons.forEach(daemon -> addInvariants(daemon, all));
        return all;
    }

    private void addInvariants(DaemonInstance daemon, List<BrokenPromise> all) {
        for (Map.Entry<String, Counter> counter : daemon.metrics().getCounters().entrySet()) {
            if (!counter.getKey().startsWith(INVARIANT) || counter.getValue().getCount() == 0) {
                continue;
            }
            all.add(
                    new BrokenPromise(
                            counter.getKey().substring(INVARIANT.length()),
                            daemon.settings().daemon(),
                            "counted " + counter.getValue().getCount() + " times",
                            daemon.router().timeline(BEGIN).stream()
                                    .filter(event -> event.kind() == EventKind.INVARIANT_VIOLATED)
                                    .map(BrokenPromises::line)
                                    .toList()));
        }
    }

    /** Several identifiers can be in one subject. */
    private List<String> events(String subject) {
        return daemons.stream()
                .flatMap(daemon -> daemon.router().timeline(BEGIN).stream())
                .filter(event -> !event.subject().isEmpty() && subject.contains(event.subject()))
                .sorted(Comparator.comparing(Event::timestamp))
                .map(BrokenPromises::line)
                .toList();
    }

    private static String line(Event event) {
        return "%d.%d %s %s %s %s"
                .formatted(
                        event.timestamp().milliseconds(),
                        event.timestamp().counter(),
                        event.daemon().name(),
                        event.kind(),
                        event.subject(),
                        event.detail());
    }
}
