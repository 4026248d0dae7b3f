package org.bergamothoist.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.SplittableRandom;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.prompt.BlockHashChain;

/**
 * Generates requests with nested prefixes: house instruction, customer history, question.
 * Organisations are of different size, and customers are popular by a Zipf distribution. Arrivals
 * are a Poisson process; each request goes to a random daemon.
 */
final class Workload {

    private static final int[] ORGANISATION_SIZES = {30, 20, 15, 12, 9, 6, 5, 3};
    private static final double ZIPF_EXPONENT = 0.9;
    private static final int LONGEST_HOUSE_INSTRUCTION = 3;

    /** Share of all requests that ask for the hot prefix while there is one. */
    private static final double HOT_SHARE = 0.25;

    private final WorkloadProfile profile;
    private final SplittableRandom random;
    private final List<Customer> customers = new ArrayList<>();
    private double totalPopularity;

    Workload(WorkloadProfile profile, long seed) {
        this.profile = profile;
        this.random = new SplittableRandom(seed);
        for (int index = 0; index < ORGANISATION_SIZES.length; index++) {
            addOrganisation(index);
        }
    }

    private void addOrganisation(int index) {
        OrganisationId organisation = new OrganisationId("organisation-" + index);
        long[] house = extend(new long[0], 1 + random.nextInt(LONGEST_HOUSE_INSTRUCTION));
        int size = ORGANISATION_SIZES[index];
        int count = Math.max(3, profile.customersOfLargest() * size / ORGANISATION_SIZES[0]);
        double normaliser = 0;
        for (int rank = 1; rank <= count; rank++) {
            normaliser += Math.pow(rank, -ZIPF_EXPONENT);
        }
        for (int rank = 1; rank <= count; rank++) {
            int span = profile.longestHistory() - profile.shortestHistory() + 1;
            long[] prefix = extend(house, profile.shortestHistory() + random.nextInt(span));
            double popularity = size * Math.pow(rank, -ZIPF_EXPONENT) / normaliser;
            totalPopularity += popularity;
            customers.add(new Customer(organisation, prefix, totalPopularity));
        }
    }

    private long[] extend(long[] prefix, int blocks) {
        long[] extended = Arrays.copyOf(prefix, prefix.length + blocks);
        for (int index = prefix.length; index < extended.length; index++) {
            extended[index] = random.nextLong();
        }
        return extended;
    }

    /** Returns the number of blocks of all shared prefixes. */
    int sharedBlocks() {
        return customers.stream().mapToInt(customer -> customer.prefix.length).sum();
    }

    /**
     * Generates the requests of a run.
     *
     * @param hotFrom time from which single cold customers are hot, changing halfway to the end
     */
    List<FakeRequest> generate(double requestsPerSecond, Duration end, Duration hotFrom) {
        List<FakeRequest> requests = new ArrayList<>();
        double seconds = 0;
        double endSeconds = end.toMillis() / 1000.0;
        double hotSeconds = hotFrom.toMillis() / 1000.0;
        while (true) {
            seconds += -Math.log(1 - random.nextDouble()) / requestsPerSecond;
            if (seconds >= endSeconds) {
                return requests;
            }
            boolean hot = seconds >= hotSeconds && random.nextDouble() < HOT_SHARE;
            Customer customer = hot ? hotCustomer(seconds, hotSeconds, endSeconds) : pick();
            requests.add(request(customer, Math.round(seconds * 1000)));
        }
    }

    /** Returns a customer who was rarely asked for before: the last one of an organisation. */
    private Customer hotCustomer(double seconds, double hotSeconds, double endSeconds) {
        boolean second = seconds - hotSeconds > (endSeconds - hotSeconds) / 2;
        return customers.get(second ? customers.size() - 1 : profile.customersOfLargest() - 1);
    }

    private Customer pick() {
        double point = random.nextDouble() * totalPopularity;
        int low = 0;
        int high = customers.size() - 1;
        while (low < high) {
            int middle = (low + high) >>> 1;
            if (customers.get(middle).cumulative < point) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        return customers.get(low);
    }

    private FakeRequest request(Customer customer, long arrival) {
        int question = between(profile.shortestQuestion(), profile.longestQuestion());
        long[] hashes = extend(customer.prefix, question / EngineProfile.BLOCK_TOKENS);
        int tokens = customer.prefix.length * EngineProfile.BLOCK_TOKENS + question;
        return new FakeRequest(
                arrival,
                customer.organisation,
                new BlockHashChain(hashes, tokens, EngineProfile.BLOCK_TOKENS),
                between(profile.shortestAnswer(), profile.longestAnswer()),
                random.nextInt(Deployment.DAEMONS),
                arrival + profile.deadline().toMillis());
    }

    private int between(int least, int most) {
        return least + random.nextInt(most - least + 1);
    }

    private record Customer(OrganisationId organisation, long[] prefix, double cumulative) {}
}
