package org.bergamothoist.standin.client;

import java.time.Duration;
import java.util.Arrays;
import java.util.Random;
import org.bergamothoist.core.prompt.Prompt;
import org.bergamothoist.standin.GeneratedText;

/**
 * Draws requests with nested prefixes: house instruction, customer history, question. The same seed
 * gives the same requests.
 */
final class WorkloadPlan {

    private static final int INSTRUCTION_BLOCKS = 3;
    private static final int LEAST_HISTORY_BLOCKS = 2;
    private static final int MOST_HISTORY_BLOCKS = 8;

    /** Share of all requests that one very hot customer has, beside its part of the rest. */
    private static final double HOT_SHARE = 0.2;

    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final WorkloadSettings settings;
    private final Random random;
    private final double[] cumulativeWeights;
    private int questions;

    /**
     * A drawn request.
     *
     * @param customer number of the customer; 0 is the very hot one
     * @param booking whether it must not be repeated
     * @param service whether it goes to the plain service
     */
    record Draw(
            String organisation, int customer, String prompt, boolean booking, boolean service) {}

    WorkloadPlan(WorkloadSettings settings) {
        this.settings = settings;
        this.random = new Random(settings.seed());
        this.cumulativeWeights = new double[settings.customers()];
        double sum = 0;
        for (int customer = 0; customer < settings.customers(); customer++) {
            sum += 1.0 / (customer + 1);
            cumulativeWeights[customer] = sum;
        }
    }

    /** Returns the time to the next request, so that requests arrive independently. */
    Duration nextGap() {
        double seconds = -Math.log(1 - random.nextDouble()) / settings.requestsPerSecond();
        return Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND));
    }

    Draw next() {
        int customer = random.nextDouble() < HOT_SHARE ? 0 : customer(random.nextDouble());
        String organisation =
                settings.organisations().get(customer % settings.organisations().size());
        String prompt = instruction(organisation) + history(customer) + question();
        boolean booking = random.nextDouble() < settings.bookingShare();
        boolean service = booking && random.nextBoolean();
        return new Draw(organisation, customer, prompt, booking, service);
    }

    private int customer(double quantile) {
        double weight = quantile * cumulativeWeights[cumulativeWeights.length - 1];
        int index = Arrays.binarySearch(cumulativeWeights, weight);
        return index >= 0 ? index : -index - 1;
    }

    private String instruction(String organisation) {
        return text("instruction of " + organisation, INSTRUCTION_BLOCKS * blockCharacters());
    }

    private String history(int customer) {
        int spread = MOST_HISTORY_BLOCKS - LEAST_HISTORY_BLOCKS + 1;
        int blocks = LEAST_HISTORY_BLOCKS + new Random(settings.seed() + customer).nextInt(spread);
        return text("history of customer " + customer, blocks * blockCharacters());
    }

    private String question() {
        int characters = 1 + random.nextInt(blockCharacters() - 1);
        return text("question " + questions++, characters);
    }

    private int blockCharacters() {
        return settings.blockTokens() * Prompt.BYTES_PER_TOKEN;
    }

    private static String text(String topic, int characters) {
        return GeneratedText.of(topic).slice(0, characters);
    }
}
