package org.bergamothoist.core.feed;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;

/**
 * Chooses the daemons that read the store for the others: in each data centre one for a number of
 * daemons, those that take callers' requests and have the largest capacity first.
 *
 * <p>All daemons choose by the same reports, so they need no agreement. The order of candidates
 * does not depend on who reads now: after a late report the same daemons are chosen again.
 */
public final class StoreReaderAssignment {

    private StoreReaderAssignment() {}

    /**
     * A daemon that is ready and can read the store.
     *
     * @param peerAddress address at which other daemons connect, {@code host:port}
     * @param capacity processor capacity of its VM, in cores
     * @param takesCallers whether it takes callers' requests
     */
    public record Candidate(
            String name,
            String dataCentre,
            String peerAddress,
            double capacity,
            boolean takesCallers) {}

    /**
     * How many daemons read the store.
     *
     * @param minimumReaders number of readers at least
     * @param daemonsPerReader number of a data centre's daemons for each of its readers at most; it
     *     bounds what readers send to others, however large the fleet is
     * @param daemonsWithoutRelay number of daemons up to which all read
     */
    public record Settings(int minimumReaders, int daemonsPerReader, int daemonsWithoutRelay) {

        private static final int DAEMONS_PER_READER = 24;

        /** In smaller fleets the readers and the lease holder are most of the daemons. */
        private static final int DAEMONS_WITHOUT_RELAY = 8;

        /** Returns the settings for a stated number of readers. */
        public static Settings of(int minimumReaders) {
            return new Settings(
                    minimumReaders,
                    DAEMONS_PER_READER,
                    Math.max(DAEMONS_WITHOUT_RELAY, minimumReaders));
        }
    }

    /** Returns whether so few daemons are alive that all read the store. */
    public static boolean allRead(int aliveDaemons, Settings settings) {
        return aliveDaemons <= settings.daemonsWithoutRelay();
    }

    /** Returns the readers, sorted by name. */
    public static List<Candidate> choose(List<Candidate> candidates, Settings settings) {
        Map<String, List<Candidate>> byDataCentre =
                candidates.stream()
                        .sorted(
                                Comparator.comparing(Candidate::takesCallers)
                                        .thenComparing(Candidate::capacity)
                                        .reversed()
                                        .thenComparing(Candidate::name))
                        .collect(
                                Collectors.groupingBy(
                                        Candidate::dataCentre, TreeMap::new, Collectors.toList()));
        Map<String, Integer> readers = new TreeMap<>();
        byDataCentre.forEach(
                (dataCentre, all) ->
                        readers.put(
                                dataCentre,
                                divideRoundingUp(all.size(), settings.daemonsPerReader())));
        int missing =
                Math.min(settings.minimumReaders(), candidates.size())
                        - readers.values().stream().mapToInt(Integer::intValue).sum();
        for (int added = 0; added < missing; added++) {
            readers.merge(leastCovered(byDataCentre, readers), 1, Integer::sum);
        }
        List<Candidate> chosen = new ArrayList<>();
        readers.forEach(
                (dataCentre, count) ->
                        chosen.addAll(byDataCentre.get(dataCentre).subList(0, count)));
        chosen.sort(Comparator.comparing(Candidate::name));
        return List.copyOf(chosen);
    }

    private static int divideRoundingUp(int dividend, int divisor) {
        return (dividend + divisor - 1) / divisor;
    }

    /** Returns the data centre with the most daemons for each of its readers. */
    private static String leastCovered(
            Map<String, List<Candidate>> byDataCentre, Map<String, Integer> readers) {
        return byDataCentre.keySet().stream()
                .max(
                        Comparator.comparingDouble(
                                dataCentre ->
                                        (double) byDataCentre.get(dataCentre).size()
                                                / readers.get(dataCentre)))
                .orElseThrow();
    }
}
