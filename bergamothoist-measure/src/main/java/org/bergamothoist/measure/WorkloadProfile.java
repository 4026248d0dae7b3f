package org.bergamothoist.measure;

import java.time.Duration;

/**
 * The shape of a deployment's requests.
 *
 * @param customersOfLargest customers of the largest organisation; smaller ones have fewer
 * @param shortestHistory least full blocks of a customer's history
 * @param longestHistory most full blocks of a customer's history
 * @param shortestQuestion least tokens of a question
 * @param longestQuestion most tokens of a question
 * @param shortestAnswer least tokens of an answer
 * @param longestAnswer most tokens of an answer
 * @param deadline time until which the first token must arrive
 */
public record WorkloadProfile(
        int customersOfLargest,
        int shortestHistory,
        int longestHistory,
        int shortestQuestion,
        int longestQuestion,
        int shortestAnswer,
        int longestAnswer,
        Duration deadline) {

    int averageAnswer() {
        return (shortestAnswer + longestAnswer) / 2;
    }
}
