package org.bergamothoist.core.limit;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.Optional;
import org.bergamothoist.core.error.ErrorCode;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.sheet.OrganisationLimits;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RateLimitTest {

    private static final OrganisationId ORGANISATION = new OrganisationId("atelier");
    private static final ModelKey MODEL = new ModelKey("model", "base", "v1");

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private int accepted;
    private int refused;

    /**
     * Guards against refusing uneven arrivals below a small limit, and against bursts that raise
     * the long-term rate above the daemon's share.
     */
    @ParameterizedTest
    @CsvSource({"2, 0.1667, 2", "6, 0.1667, 6", "30, 0.5, 30", "1, 1, 1"})
    void allowsBurstOfOneSecondOfWholeLimit(int limit, double share, int burst) {
        AdmissionController admission =
                new AdmissionController(
                        AdmissionSettings.standard(), new FixedLimits(limit, share), time, time);
        submit(admission, 10 * limit);
        assertThat(accepted).isEqualTo(burst);
        for (int second = 0; second < 60; second++) {
            time.advance(Duration.ofSeconds(1));
            submit(admission, limit);
        }
        assertThat(accepted - burst).isLessThanOrEqualTo((int) Math.ceil(60 * limit * share));
        assertThat(refused).isPositive();
    }

    private void submit(AdmissionController admission, int requests) {
        for (int request = 0; request < requests; request++) {
            admission
                    .submit(
                            new AdmissionRequest(ORGANISATION, MODEL, 5, 1, Optional.empty()),
                            new CountingHandler())
                    .close();
        }
    }

    private record FixedLimits(int requestsPerSecond, double share) implements AdmissionLimits {

        @Override
        public OrganisationLimits limits(OrganisationId organisation) {
            return new OrganisationLimits(requestsPerSecond, 1_000, 1);
        }

        @Override
        public double share(OrganisationId organisation) {
            return share;
        }
    }

    private final class CountingHandler implements AdmissionHandler {

        @Override
        public boolean tryDispatch() {
            accepted++;
            return true;
        }

        @Override
        public void refuse(ErrorCode code, String message) {
            refused++;
        }
    }
}
