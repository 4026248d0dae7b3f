package org.bergamothoist.core.feed;

import java.util.ArrayList;
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

    /** A whole number that leaves room for an offset in a fencing number of 63 bits. */
    private static final Pattern ERA = Pattern.compile("\\d{1,9}");

    private static final String SUBJECT = "store";

    private final DecisionLog log;
    private final List<FallbackListener> listeners = new ArrayList<>();
    private final Map<String, Long> ends = new HashMap<>();
    private OptionalLong announced = OptionalLong.empty();
    private long fallbacks;
    private long droppedAnswers;

    /** Creates the era of a store that has not answered yet. */
    public StoreEra(DecisionLog log) {
        this.log = log;
    }

    /** Handles the return of the store from an older copy. */
    @FunctionalInterface
    public interface FallbackListener {

        /**
         * Is called once for each later era, before the answer that shows it is used.
         *
         * @param before era before, which is also the one after if the store announces none
         * @param after era from now on
         */
        void onFallback(long before, long after);
    }

    /**
     * What was known when a call was sent.
     *
     * @param fallbacks number of fallbacks until then
     * @param end highest end of the topic that was seen, or 0
     */
    public record SentCall(String topic, long fallbacks, long end) {}

    /** Adds a listener; listeners are called in the order in which they were added. */
    public void addListener(FallbackListener listener) {
        listeners.add(listener);
    }

    /** Returns the era that the store has announced, or 0 if it has announced none. */
    public long current() {
        return announced.orElse(0);
    }

    /** Returns whether the store announces its era, so that it may have lost records. */
    public boolean isAnnounced() {
        return announced.isPresent();
    }

    /** Returns how often the store has come back from an older copy since this object exists. */
    public long fallbacks() {
        return fallbacks;
    }

    /** Returns the number of answers that were not used because they were outdated. */
    public long droppedAnswers() {
        return droppedAnswers;
    }

    /** To be called when a call is sent. */
    public SentCall onSent(String topic) {
        return new SentCall(topic, fallbacks, ends.getOrDefault(topic, 0L));
    }

    /**
     * Handles the announcement in an answer; throws {@link OutdatedAnswerException} if the answer
     * is of an earlier era.
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
        if (announced.isPresent() && era < before) {
            throw dropped("answer of era " + era + " in era " + before);
        }
        boolean fellBack = announced.isPresent() && era > before;
        announced = OptionalLong.of(era);
        if (fellBack) {
            onFallback(before, "announced");
        }
    }

    /**
     * Handles the end of a topic that an answer states; throws {@link OutdatedAnswerException} if
     * it is below the end that was known when the call was sent, although the era is the same.
     */
    public void onEnd(SentCall call, long end) {
        if (announced.isEmpty()) {
            // Whether the answer was made before or after the fallback is not known.
            requireSameEra(call);
        }
        if (call.fallbacks() != fallbacks) {
            // An answer that announces no era may be of the one in which the call was sent.
            return;
        }
        if (end >= call.end()) {
            ends.merge(call.topic(), end, Math::max);
            return;
        }
        String evidence = "topic=" + call.topic() + " end=" + end + " end-before=" + call.end();
        if (announced.isPresent()) {
            // If the end before was wrong, the next answer is used.
            ends.put(call.topic(), end);
            throw dropped(evidence);
        }
        onFallback(0, evidence);
        ends.put(call.topic(), end);
    }

    /**
     * Handles the answer to an append: the topic ended at the record's offset before, so that an
     * offset that was given out before shows a fallback.
     *
     * @see #onEnd
     */
    public void onAppended(SentCall call, long offset, long end) {
        boolean ofCurrentEra = call.fallbacks() == fallbacks;
        onEnd(call, offset);
        if (ofCurrentEra) {
            ends.merge(call.topic(), end, Math::max);
        }
    }

    /**
     * Throws {@link OutdatedAnswerException} if the store has fallen back since a call was sent, so
     * that an offset in it was of an earlier era. To be called after the answer was handled.
     */
    public void requireSameEra(SentCall call) {
        if (call.fallbacks() != fallbacks) {
            throw dropped("the store has fallen back since the call to " + call.topic());
        }
    }

    private OutdatedAnswerException dropped(String reason) {
        droppedAnswers++;
        log.write(DecisionKind.RECORD_IGNORED, SUBJECT, () -> reason, "answer not used");
        return new OutdatedAnswerException(reason);
    }

    private void onFallback(long before, String evidence) {
        fallbacks++;
        Map<String, Long> endsBefore = Map.copyOf(ends);
        ends.clear();
        log.write(
                DecisionKind.STORE_FELL_BACK,
                SUBJECT,
                () -> "era-before=" + before + " " + evidence + " ends-before=" + endsBefore,
                "era " + current());
        listeners.forEach(listener -> listener.onFallback(before, current()));
    }
}
