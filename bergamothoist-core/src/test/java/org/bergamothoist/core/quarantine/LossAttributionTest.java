package org.bergamothoist.core.quarantine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.bergamothoist.core.quarantine.SuspectContentsTest.content;

import java.util.AbstractSet;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Tests the attribution of losses to very many parts. */
class LossAttributionTest {

    private static final int THRESHOLD = 3;
    private static final int CALLERS = 40;
    private static final int PARTS_OF_A_PROMPT = 25;

    private int reads;

    /** Counts how often it is searched or read through. */
    private final class CountingSet extends AbstractSet<TargetLoss> {

        private final Set<TargetLoss> losses;

        private CountingSet(Set<TargetLoss> losses) {
            this.losses = losses;
        }

        @Override
        public Iterator<TargetLoss> iterator() {
            reads++;
            return losses.iterator();
        }

        @Override
        public boolean contains(Object loss) {
            reads++;
            return losses.contains(loss);
        }

        @Override
        public int size() {
            return losses.size();
        }
    }

    private static TargetLoss loss(int caller, int number) {
        return new TargetLoss("i-" + caller % 10 + "-" + number, "1");
    }

    /**
     * Guards against an event loop that stands still for seconds: after losses of targets that ran
     * prompts of many parts, each part was compared with all others that shared a loss.
     */
    @Test
    void effortDoesNotGrowWithTheSquareOfTheParts() {
        List<LossAttribution.Suspect> suspects = new ArrayList<>();
        for (int caller = 0; caller < CALLERS; caller++) {
            Set<TargetLoss> losses = Set.of(loss(caller, 1), loss(caller, 2), loss(caller, 3));
            suspects.add(suspect(content(caller), losses));
            for (int part = 0; part < PARTS_OF_A_PROMPT; part++) {
                String name = caller + "/" + part;
                suspects.add(suspect(FingerprintCalculator.ofPart("service", name), losses));
            }
        }
        Set<Set<Fingerprint>> quarantined = new LossAttribution(THRESHOLD, suspects).quarantined();
        assertThat(quarantined).hasSize(10);
        assertThat(reads).isLessThan(4 * suspects.size());
    }

    private LossAttribution.Suspect suspect(Fingerprint key, Set<TargetLoss> losses) {
        return new LossAttribution.Suspect(key, new CountingSet(losses), THRESHOLD);
    }
}
