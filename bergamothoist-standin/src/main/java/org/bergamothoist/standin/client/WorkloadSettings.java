package org.bergamothoist.standin.client;

import java.time.Duration;
import java.util.List;
import org.bergamothoist.core.sheet.OrganisationEntry;

/**
 * Describes a workload.
 *
 * @param organisations organisations of the deployment's sheet; each sends requests in proportion
 *     to its weight, to its own models and services
 * @param blockTokens tokens of a cache block, the same as the engines'
 * @param requestsPerSecond mean rate of new requests
 * @param duration time for which new requests are sent
 * @param customers customers of all organisations together
 * @param bookingShare share of non-idempotent requests, half of them to the plain service
 * @param maximumTokens tokens of an answer
 * @param maximumConcurrent requests that run at once; further ones are skipped and counted
 * @param patience time after which a caller gives up
 * @param seed seed of prompts, customers and times
 */
public record WorkloadSettings(
        List<OrganisationEntry> organisations,
        int blockTokens,
        double requestsPerSecond,
        Duration duration,
        int customers,
        double bookingShare,
        int maximumTokens,
        int maximumConcurrent,
        Duration patience,
        long seed) {

    public WorkloadSettings {
        organisations = List.copyOf(organisations);
    }

    /** Returns a workload of 100 requests a second with blocks of 64 tokens. */
    public static WorkloadSettings of(List<OrganisationEntry> organisations, Duration duration) {
        return new WorkloadSettings(
                organisations, 64, 100, duration, 200, 0.1, 64, 2_000, Duration.ofMinutes(1), 1);
    }

    /** Returns this workload at another rate and with another seed. */
    public WorkloadSettings with(double newRequestsPerSecond, long newSeed) {
        return new WorkloadSettings(
                organisations,
                blockTokens,
                newRequestsPerSecond,
                duration,
                customers,
                bookingShare,
                maximumTokens,
                maximumConcurrent,
                patience,
                newSeed);
    }

    /** Returns this workload with answers of another length and callers of another patience. */
    public WorkloadSettings withAnswers(int newMaximumTokens, Duration newPatience) {
        return new WorkloadSettings(
                organisations,
                blockTokens,
                requestsPerSecond,
                duration,
                customers,
                bookingShare,
                newMaximumTokens,
                maximumConcurrent,
                newPatience,
                seed);
    }
}
