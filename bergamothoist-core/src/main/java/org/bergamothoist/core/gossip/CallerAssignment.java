package org.bergamothoist.core.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/**
 * Chooses the daemons that take callers' requests: the ones on the VMs with the largest capacity,
 * as many as are needed. The others stand by.
 *
 * <p>Fewer daemons share less state, and each of them knows more of the targets' load and caches.
 * All daemons choose by the same reports, so they need no agreement; while their views differ,
 * callers reach a few daemons more.
 */
public final class CallerAssignment {

    private CallerAssignment() {}

    /**
     * A daemon that can take callers' requests.
     *
     * @param capacity processor capacity of its VM, in cores
     */
    public record Candidate(
            String name,
            String dataCentre,
            String callerAddress,
            String peerAddress,
            double capacity) {}

    /**
     * How many daemons take requests.
     *
     * @param minimumDaemons daemons that take requests at least, so that the loss of one is borne
     * @param minimumShareOfCapacity share of the capacity of all daemons that take requests at
     *     least, from 0 to 1
     */
    public record Settings(int minimumDaemons, double minimumShareOfCapacity) {

        /** Values of all deployments; the settings file has no keys for them. */
        public static final Settings DEFAULT = new Settings(8, 0.4);
    }

    /**
     * Returns the daemons that take requests. Of daemons with the same capacity either all or none
     * are chosen, so that the choice changes only when larger ones come or go.
     */
    public static List<Candidate> choose(List<Candidate> ready, Settings settings) {
        List<Candidate> byCapacity =
                ready.stream()
                        .sorted(
                                Comparator.comparingDouble(Candidate::capacity)
                                        .reversed()
                                        .thenComparing(Candidate::name))
                        .toList();
        double total = ready.stream().mapToDouble(Candidate::capacity).sum();
        List<Candidate> chosen = new ArrayList<>();
        double chosenCapacity = 0;
        for (Candidate candidate : byCapacity) {
            boolean enough =
                    chosen.size() >= settings.minimumDaemons()
                            && chosenCapacity >= total * settings.minimumShareOfCapacity();
            if (enough && candidate.capacity() < chosen.get(chosen.size() - 1).capacity()) {
                break;
            }
            chosen.add(candidate);
            chosenCapacity += candidate.capacity();
        }
        return List.copyOf(chosen);
    }

    /**
     * Returns the addresses for a caller, those in its data centre first.
     *
     * @param maximum maximum number of addresses returned
     */
    public static List<String> addresses(List<Candidate> chosen, String dataCentre, int maximum) {
        Stream<Candidate> local =
                chosen.stream().filter(candidate -> candidate.dataCentre().equals(dataCentre));
        Stream<Candidate> remote =
                chosen.stream().filter(candidate -> !candidate.dataCentre().equals(dataCentre));
        return Stream.concat(local, remote)
                .map(Candidate::callerAddress)
                .distinct()
                .limit(maximum)
                .toList();
    }
}
