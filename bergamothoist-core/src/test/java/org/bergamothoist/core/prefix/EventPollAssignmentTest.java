package org.bergamothoist.core.prefix;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against more calls for cache events than a target serves at once. */
class EventPollAssignmentTest {

    private static List<String> daemons(int count) {
        return IntStream.range(0, count).mapToObj(index -> "daemon-" + index).toList();
    }

    @ParameterizedTest
    @CsvSource({"6,8,6", "7,12,7", "95,8,6", "420,8,6", "95,1,1"})
    void everyTargetIsReadByAsManyDaemonsAsItServes(int count, int maximumCalls, int expected) {
        List<String> daemons = daemons(count);
        for (int target = 0; target < 59; target++) {
            String id = "engine-" + target;
            assertThat(daemons)
                    .filteredOn(
                            daemon ->
                                    EventPollAssignment.isAssigned(
                                            daemon, daemons, id, maximumCalls))
                    .hasSize(expected);
        }
    }

    /** Guards against daemons that read all targets while others read none. */
    @ParameterizedTest
    @CsvSource({"18,59,8", "95,59,8"})
    void targetsAreSpreadOverTheDaemons(int count, int targets, int maximumCalls) {
        List<String> daemons = daemons(count);
        double mean = 0.75 * maximumCalls * targets / count;
        assertThat(daemons)
                .allMatch(
                        daemon ->
                                IntStream.range(0, targets)
                                                .filter(
                                                        target ->
                                                                EventPollAssignment.isAssigned(
                                                                        daemon,
                                                                        daemons,
                                                                        "engine-" + target,
                                                                        maximumCalls))
                                                .count()
                                        <= Math.ceil(mean * 4));
    }

    @ParameterizedTest
    @CsvSource({"5,8", "50,8"})
    void daemonsThatDoNotUseTargetsReadNothing(int count, int maximumCalls) {
        assertThat(EventPollAssignment.isAssigned("other", daemons(count), "e", maximumCalls))
                .isFalse();
    }
}
