package org.bergamothoist.core.prefix;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.Test;

class CacheStoreViewTest {

    private static final CacheScope SCOPE = new CacheScope("common.m.1");
    private static final PromptPart PART = new PromptPart("p", 100);
    private static final PartitionedPrompt PROMPT =
            new PartitionedPrompt("m", 120, 5, List.of(PART, new PromptPart("own", 20)));

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final CacheStoreView view = new CacheStoreView(new CachedPartIndex(), time);

    private void applyEvent(long storeEpoch, boolean stored) {
        view.applyEvents(
                "store", storeEpoch, List.of(new CachedPartEvent(stored, SCOPE, PART, 100)), 1_000);
    }

    @Test
    void appliesStoredAndRemovedEvents() {
        applyEvent(1, true);
        assertThat(view.holdsSharedParts(SCOPE, PROMPT)).isTrue();
        assertThat(view.holdsSharedParts(new CacheScope("common.m.2"), PROMPT)).isFalse();
        applyEvent(1, false);
        assertThat(view.holdsSharedParts(SCOPE, PROMPT)).isFalse();
    }

    @Test
    void restartOfStoreClearsItsContents() {
        applyEvent(1, true);
        view.applyEvents("store", 2, List.of(), 1_000);
        assertThat(view.holdsSharedParts(SCOPE, PROMPT)).isFalse();
    }

    @Test
    void unansweringStoreBecomesUnreachable() {
        applyEvent(1, true);
        assertThat(view.isReachable("store")).isTrue();
        time.advanceMillis(2_000);
        assertThat(view.isReachable("store")).isFalse();
        applyEvent(1, true);
        view.markUnreachable();
        assertThat(view.isReachable("store")).isFalse();
    }

    @Test
    void evictsLeastRecentlyUsedPartsFirst() {
        CachedPartIndex parts = new CachedPartIndex();
        parts.add("h", SCOPE, List.of(new PromptPart("a", 60), new PromptPart("b", 40)), 100);
        parts.cachedPrefixTokens("h", SCOPE, List.of(new PromptPart("a", 60)));
        parts.add("h", SCOPE, List.of(new PromptPart("c", 30)), 100);
        assertThat(parts.cachedPrefixTokens("h", SCOPE, List.of(new PromptPart("a", 60))))
                .isEqualTo(60);
        assertThat(parts.cachedPrefixTokens("h", SCOPE, List.of(new PromptPart("b", 40)))).isZero();
    }
}
