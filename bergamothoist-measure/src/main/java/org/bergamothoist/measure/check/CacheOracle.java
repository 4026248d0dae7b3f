package org.bergamothoist.measure.check;

import java.util.HashMap;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;

/**
 * Checks for one daemon incarnation that predictions of cached blocks are made only for the newest
 * incarnation of an engine that any evidence has shown to the daemon (G1).
 */
final class CacheOracle {

    /** Form of the detail of a REQUEST_DISPATCHED event. */
    private static final Pattern DISPATCH =
            Pattern.compile("(\\S+) attempt \\d+ predicts (\\d+) blocks of incarnation (\\S+)");

    private final String daemon;
    private final RunLog log;
    private final Map<TargetId, Integer> newest = new HashMap<>();

    CacheOracle(String daemon, RunLog log) {
        this.daemon = daemon;
        this.log = log;
    }

    void evidence(TargetId target, EngineIncarnation incarnation) {
        newest.merge(target, FakeEngine.number(incarnation), Math::max);
    }

    /** Takes the detail of a REQUEST_DISPATCHED event. */
    void dispatched(String detail) {
        Matcher matcher = DISPATCH.matcher(detail);
        if (!matcher.matches() || matcher.group(2).equals("0")) {
            return;
        }
        log.count("dispatches-with-predicted-blocks");
        int predicted = FakeEngine.number(new EngineIncarnation(matcher.group(3)));
        int known = newest.getOrDefault(new TargetId(matcher.group(1)), 0);
        log.check(
                Property.CACHE_ISOLATION,
                predicted >= known,
                daemon + " was shown incarnation " + known + ", but dispatched " + detail);
    }
}
