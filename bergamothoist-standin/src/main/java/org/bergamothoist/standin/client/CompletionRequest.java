package org.bergamothoist.standin.client;

import java.time.Duration;
import java.util.Optional;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.standin.GeneratedText;

/**
 * A completion that a caller wants.
 *
 * @param priority 0 is most urgent, 9 least
 * @param deadline time until which the first token must arrive
 */
public record CompletionRequest(
        ModelKey modelKey,
        String prompt,
        int maximumTokens,
        boolean idempotent,
        int priority,
        Optional<Duration> deadline) {

    /** Returns an idempotent request of medium priority without deadline. */
    public static CompletionRequest of(ModelKey modelKey, String prompt, int maximumTokens) {
        return new CompletionRequest(modelKey, prompt, maximumTokens, true, 5, Optional.empty());
    }

    /** Returns this request, marked as not to be repeated. */
    public CompletionRequest nonIdempotent() {
        return new CompletionRequest(modelKey, prompt, maximumTokens, false, priority, deadline);
    }

    /** Returns the text that engine stand-ins generate for this request. */
    public String expectedText() {
        return GeneratedText.expected(prompt, maximumTokens);
    }
}
