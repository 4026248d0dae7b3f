package org.bergamothoist.core.feed;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.regex.Pattern;
import org.bergamothoist.core.decision.DecisionKind;
import org.bergamothoist.core.decision.DecisionLog;

/**
 * Follows the era of the platform's store. The store begins an era when it comes back from an older
 * copy, so that offsets are given out again. Every answer of the store is to be passed through this
 * object. Confined to the control thread.
 *
 * <p>The store announces its era in its answers. While it never has, a fallback is inferred from
 * the end of a topic that is below one seen before the call was sent; a topic that has grown past
 * that end since shows nothing.
 */
public final class StoreEra {

    /** A whole number that leaves room for an offset in a fencing number. */
    private static final Pattern ERA = Pattern.compile("\\d{1,9}");

    private static final String SUBJECT = "store";

    private final DecisionLog log;
    private final Map<String, Long> ends = new HashMap<>();
    private OptionalLong announced = OptionalLong.empty();
    private long fallbacks;

    /** Creates the era of a store that has not answered yet. */
    public StoreEra(DecisionLog log) {
        this.log = log;
    }

    /**
     * What was known when a call was sent.
     *
     * @param end highest end of the topic that was seen, or 0
     */
    public record SentCall(String topic, long fallbacks, long end) {}

    /** Returns the era that the store has announced, or 0 if it has announced none. */
    public long current() {
        return announced.orElse(0);
    }

    /** Returns how often the store has come back from an older copy since this object exists. */
    public long fallbacks() {
        return fallbacks;
    }

    /** To be called when a call is sent. */
    public SentCall onSent(String topic) {
        return new SentCall(topic, fallbacks, ends.getOrDefault(topic, 0L));
    }

    /**
     * Handles the announcement in an answer.
     *
     * @param values values of the header in which the store announces its era
     */
    public void onAnnounced(List<String> values) {
        if (values.isEmpty()) {
            return;
        }
        if (values.size() > 1 || !ERA.matcher(values.get(0)).matches()) {
            log.write(
                    DecisionKind.RECORD_IGNORED, SUBJECT, () -> "era=" + values, "era not usable");
            return;
        }
        long era = Long.parseLong(values.get(0));
        long before = current();
        if (announced.isPresent() && era > before) {
            onFallback(before, era, "announced");
        }
        if (announced.isEmpty() || era > before) {
            announced = OptionalLong.of(era);
        }
    }

    /** Handles the end of a topic that an answer states. */
    public void onEnd(SentCall call, long end) {
        if (end >= call.end()) {
            ends.merge(call.topic(), end, Math::max);
            return;
        }
        if (call.fallbacks() == fallbacks && announced.isEmpty()) {
            onFallback(0, 0, "topic=" + call.topic() + " end=" + end + " end-before=" + call.end());
            ends.put(call.topic(), end);
        }
    }

    private void onFallback(long before, long after, String evidence) {
        fallbacks++;
        log.write(
                DecisionKind.STORE_FELL_BACK,
                SUBJECT,
                () -> "era-before=" + before + " " + evidence + " ends-before=" + ends,
                "era " + after);
        ends.clear();
    }
}
