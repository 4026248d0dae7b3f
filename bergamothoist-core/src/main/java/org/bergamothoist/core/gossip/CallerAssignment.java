package org.bergamothoist.core.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
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
     * @param utilisation used share of that capacity, from 0 to 1; 0 if it was not measured yet
     */
    public record Candidate(
            String name,
            String dataCentre,
            String callerAddress,
            String peerAddress,
            double capacity,
            double utilisation) {

        /** Creates a candidate whose utilisation was not measured yet. */
        public Candidate(
                String name,
                String dataCentre,
                String callerAddress,
                String peerAddress,
                double capacity) {
            this(name, dataCentre, callerAddress, peerAddress, capacity, 0);
        }

        boolean isMeasured() {
            return utilisation > 0;
        }
    }

    /**
     * How many daemons take requests while their utilisation is not known.
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
        double required = totalCapacity(ready) * settings.minimumShareOfCapacity();
        return chooseLargest(
                ready,
                chosen ->
                        chosen.size() >= settings.minimumDaemons()
                                && totalCapacity(chosen) >= required);
    }

    /**
     * Returns the daemons that take requests, if their requests need a known processor capacity.
     * The loss of any one of them leaves that capacity, and callers in each data centre a daemon
     * there.
     *
     * @param requiredCapacity in cores
     */
    public static List<Candidate> choose(List<Candidate> ready, double requiredCapacity) {
        Set<String> dataCentres =
                ready.stream().map(Candidate::dataCentre).collect(Collectors.toSet());
        return chooseLargest(
                ready,
                chosen ->
                        coversDataCentres(dataCentres, chosen)
                                && totalCapacity(chosen) - chosen.get(0).capacity()
                                        >= requiredCapacity);
    }

    /**
     * Returns whether there are two daemons in each data centre, of which one may be missing, so
     * that a daemon that starts again does not change the choice.
     */
    private static boolean coversDataCentres(Set<String> dataCentres, List<Candidate> chosen) {
        Map<String, Long> counts =
                chosen.stream()
                        .collect(
                                Collectors.groupingBy(
                                        Candidate::dataCentre, Collectors.counting()));
        long withOne = counts.values().stream().filter(count -> count == 1).count();
        return counts.keySet().containsAll(dataCentres) && withOne <= 1;
    }

    private static double totalCapacity(List<Candidate> candidates) {
        return candidates.stream().mapToDouble(Candidate::capacity).sum();
    }

    /** Adds the largest candidates, all of a capacity at once, until they are enough. */
    private static List<Candidate> chooseLargest(
            List<Candidate> ready, Predicate<List<Candidate>> enough) {
        List<Candidate> byCapacity =
                ready.stream()
                        .sorted(
                                Comparator.comparingDouble(Candidate::capacity)
                                        .reversed()
                                        .thenComparing(Candidate::name))
                        .toList();
        List<Candidate> chosen = new ArrayList<>();
        for (Candidate candidate : byCapacity) {
            boolean smaller =
                    !chosen.isEmpty()
                            && candidate.capacity() < chosen.get(chosen.size() - 1).capacity();
            if (smaller && enough.test(chosen)) {
                break;
            }
            chosen.add(candidate);
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
