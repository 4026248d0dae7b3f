package org.bergamothoist.measure.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;

class CapacityMeasurementTest {

    /** Guards against heartbeats whose size grows with the fleet beyond the bound of 2 KB/s. */
    @Test
    void heartbeatBytesStayWithinBoundAtFleetSize() {
        Meter meter = new Meter();
        new PeerSlopes(meter).measure();
        List<Slope> bytes =
                meter.slopes().stream()
                        .filter(
                                slope ->
                                        slope.quantity().equals("heartbeat bytes sent by a daemon"))
                        .filter(slope -> slope.size().startsWith("420"))
                        .toList();
        assertThat(bytes).hasSize(1);
        assertThat(bytes.get(0).value()).isLessThanOrEqualTo(2_000);
    }
}
