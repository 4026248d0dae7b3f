package org.bergamothoist.core.prompt;

import java.nio.charset.StandardCharsets;
import java.util.Objects;

/** The text of a prompt, bounded in size by the size filter. */
public record Prompt(String text) {

    /**
     * Bytes of UTF-8 text counted as one token. The daemon has no tokeniser; the engine's own count
     * on each answer corrects the estimate.
     */
    public static final int BYTES_PER_TOKEN = 4;

    public Prompt {
        Objects.requireNonNull(text);
    }

    /** Returns the text as UTF-8 bytes. */
    public byte[] bytes() {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the estimated number of tokens, rounded up. */
    public int estimatedTokens() {
        return (bytes().length + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }
}
