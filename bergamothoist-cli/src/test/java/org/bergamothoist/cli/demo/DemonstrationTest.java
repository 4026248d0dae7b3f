package org.bergamothoist.cli.demo;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.bergamothoist.standin.Deployment;
import org.bergamothoist.standin.client.OutcomeKind;
import org.junit.jupiter.api.Test;

class DemonstrationTest {

    /** Guards against promises that break when several failures come together. */
    @Test
    void breaksNoPromise() throws Exception {
        DemonstrationResult result =
                new Demonstration(
                                ExampleDeployment.load(Deployment.BRUNNER),
                                1,
                                Duration.ofSeconds(20),
                                line -> {})
                        .run();
        assertThat(result.brokenPromises()).isEmpty();
        assertThat(result.outcomes().get(OutcomeKind.ANSWERED))
                .isGreaterThan(result.requests() * 9 / 10);
        assertThat(result.refusedSheet()).contains("concurrent streams");
    }
}
