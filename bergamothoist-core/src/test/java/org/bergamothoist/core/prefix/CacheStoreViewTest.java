package org.bergamothoist.core.prefix;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.bergamothoist.core.time.VirtualTimeScheduler;
import org.junit.jupiter.api.Test;

class CacheStoreViewTest {

    private static final CacheScope SCOPE = new CacheScope("common.m.1");
    private static final PromptPart PART = new PromptPart("p", 100);
    private static final NamedPrompt PROMPT =
            new NamedPrompt("m", 120, 5, List.of(PART, new PromptPart("own", 20)));

    private final VirtualTimeScheduler time = new VirtualTimeScheduler();
    private final CacheStoreView view = new CacheStoreView(new HeldParts(), time);

    private void accept(long run, boolean held) {
        view.accept("store", run, List.of(new CacheEvent(held, SCOPE, PART, 100)), 1_000);
    }

    @Test
    void holdsWhatItsEventsSay() {
        accept(1, true);
        assertThat(view.holds(SCOPE, PROMPT)).isTrue();
        assertThat(view.holds(new CacheScope("common.m.2"), PROMPT)).isFalse();
        accept(1, false);
        assertThat(view.holds(SCOPE, PROMPT)).isFalse();
    }

    @Test
    void restartedStoreHoldsNothingOfBefore() {
        accept(1, true);
        view.accept("store", 2, List.of(), 1_000);
        assertThat(view.holds(SCOPE, PROMPT)).isFalse();
    }

    @Test
    void silentStoreIsNotFetchedFrom() {
        accept(1, true);
        assertThat(view.isReachable("store")).isTrue();
        time.advanceMillis(2_000);
        assertThat(view.isReachable("store")).isFalse();
        accept(1, true);
        view.lost();
        assertThat(view.isReachable("store")).isFalse();
    }

    @Test
    void leastRecentlyUsedPartsYieldFirst() {
        HeldParts parts = new HeldParts();
        parts.add("h", SCOPE, List.of(new PromptPart("a", 60), new PromptPart("b", 40)), 100);
        parts.leadingTokens("h", SCOPE, List.of(new PromptPart("a", 60)));
        parts.add("h", SCOPE, List.of(new PromptPart("c", 30)), 100);
        assertThat(parts.leadingTokens("h", SCOPE, List.of(new PromptPart("a", 60)))).isEqualTo(60);
        assertThat(parts.leadingTokens("h", SCOPE, List.of(new PromptPart("b", 40)))).isZero();
    }
}
