package org.bergamothoist.standin.client;

import java.time.Duration;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.prompt.Prompt;
import org.bergamothoist.core.sheet.ModelEntitlement;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.ServiceEntitlement;
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
    private final int totalWeight;
    private final double[] cumulativeShares;
    private int questions;

    /**
     * A drawn request, either to a model or to a plain service.
     *
     * @param customer number of the customer; 0 is the very hot one
     * @param booking whether it must not be repeated
     */
    record Draw(
            String organisation,
            int customer,
            String prompt,
            boolean booking,
            Optional<ModelKey> model,
            Optional<ServiceEntitlement> service) {}

    WorkloadPlan(WorkloadSettings settings) {
        this.settings = settings;
        this.random = new Random(settings.seed());
        this.totalWeight =
                settings.organisations().stream().mapToInt(entry -> entry.limits().weight()).sum();
        this.cumulativeShares =
                new double[Math.max(1, settings.customers() / settings.organisations().size())];
        double sum = 0;
        for (int rank = 0; rank < cumulativeShares.length; rank++) {
            sum += 1.0 / (rank + 1);
            cumulativeShares[rank] = sum;
        }
    }

    /** Returns the time to the next request, so that requests arrive independently. */
    Duration nextGap() {
        double seconds = -Math.log(1 - random.nextDouble()) / settings.requestsPerSecond();
        return Duration.ofNanos((long) (seconds * NANOSECONDS_PER_SECOND));
    }

    Draw next() {
        boolean hot = random.nextDouble() < HOT_SHARE;
        int index = hot ? 0 : organisation(random.nextInt(totalWeight));
        int rank = hot ? 0 : rank(random.nextDouble());
        int customer = rank * settings.organisations().size() + index;
        OrganisationEntry organisation = settings.organisations().get(index);
        String name = organisation.organisation().value();
        String prompt = instruction(name) + history(customer) + question();
        boolean booking = random.nextDouble() < settings.bookingShare();
        if (booking && random.nextBoolean() && !organisation.services().isEmpty()) {
            ServiceEntitlement service = any(organisation.services());
            return new Draw(
                    name,
                    customer,
                    prompt,
                    service.nonIdempotent(),
                    Optional.empty(),
                    Optional.of(service));
        }
        ModelEntitlement model = model(organisation, booking);
        boolean once = booking || model.nonIdempotent();
        return new Draw(name, customer, prompt, once, Optional.of(model.key()), Optional.empty());
    }

    private int organisation(int position) {
        int rest = position;
        int index = 0;
        while (rest >= weight(index)) {
            rest -= weight(index++);
        }
        return index;
    }

    private int weight(int index) {
        return settings.organisations().get(index).limits().weight();
    }

    private int rank(double quantile) {
        double share = quantile * cumulativeShares[cumulativeShares.length - 1];
        int index = Arrays.binarySearch(cumulativeShares, share);
        return index >= 0 ? index : -index - 1;
    }

    /** Prefers models whose mark in the sheet fits; any other is better than none. */
    private ModelEntitlement model(OrganisationEntry organisation, boolean nonIdempotent) {
        Predicate<ModelEntitlement> fits = model -> model.nonIdempotent() == nonIdempotent;
        List<ModelEntitlement> fitting = organisation.models().stream().filter(fits).toList();
        return any(fitting.isEmpty() ? organisation.models() : fitting);
    }

    private <T> T any(List<T> choices) {
        return choices.get(random.nextInt(choices.size()));
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
