package org.bergamothoist.gateway.buffer;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against peers that fill the memory together, each within its own bound. */
class HeldBytesTest {

    private static final int UNIT = 100_000;

    private final List<String> refused = new ArrayList<>();
    private final MetricRegistry metrics = new MetricRegistry();
    private final HeldBytes heldBytes =
            new HeldBytes(10 * UNIT, metrics, (kind, subject, inputs, outcome) -> inputs.get());

    private HeldBytes.Account open(String name) {
        return heldBytes.open(name, () -> refused.add(name));
    }

    @Test
    void largestIsRefusedFirst() {
        assertThat(open("small").update(2 * UNIT)).isTrue();
        assertThat(open("large").update(7 * UNIT)).isTrue();
        assertThat(open("next").update(3 * UNIT)).isTrue();
        assertThat(refused).containsExactly("large");
        assertThat(metrics.counter("held-bytes-refused").getCount()).isEqualTo(1);
    }

    @Test
    void largestIsToldByItsOwnUpdate() {
        open("small").update(2 * UNIT);
        HeldBytes.Account large = open("large");
        assertThat(large.update(9 * UNIT)).isFalse();
        assertThat(refused).isEmpty();
        assertThat(large.update(8 * UNIT)).isTrue();
    }

    @Test
    void littleIsHeldAlsoBesideBytesThatCannotBeGivenUp() {
        HeldBytes.Account kept = open("kept");
        kept.update(10 * UNIT);
        kept.keep();
        assertThat(open("little").update(1_000)).isTrue();
        assertThat(open("more").update(UNIT)).isFalse();
        kept.release();
        assertThat(open("more").update(UNIT)).isTrue();
        assertThat(refused).isEmpty();
    }
}
