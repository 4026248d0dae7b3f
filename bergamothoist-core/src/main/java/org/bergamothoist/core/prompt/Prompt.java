package org.bergamothoist.core.prompt;

import java.nio.charset.StandardCharsets;

/**
 * The text of a prompt, bounded in size by the size filter. Keeps the UTF-8 form, since bounds,
 * block hashes and fingerprint all need it.
 */
public final class Prompt {

    /**
     * Bytes of UTF-8 text counted as one token. The daemon has no tokeniser; the engine's own count
     * on each answer corrects the estimate.
     */
    public static final int BYTES_PER_TOKEN = 4;

    private final String text;
    private final byte[] bytes;

    /** Creates a prompt. */
    public Prompt(String text) {
        this.text = text;
        this.bytes = text.getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the text. */
    public String text() {
        return text;
    }

    /** Returns the length of the text in bytes of UTF-8. */
    public int byteLength() {
        return bytes.length;
    }

    /** Returns the text in UTF-8, as a copy. */
    public byte[] bytes() {
        return bytes.clone();
    }

    /** Returns the text in UTF-8 without a copy, for readers in this package. */
    byte[] sharedBytes() {
        return bytes;
    }

    /** Returns the estimated number of tokens, rounded up. */
    public int estimatedTokens() {
        return (bytes.length + BYTES_PER_TOKEN - 1) / BYTES_PER_TOKEN;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Prompt prompt && text.equals(prompt.text);
    }

    @Override
    public int hashCode() {
        return text.hashCode();
    }

    /** Returns the size only, since prompts hold callers' content. */
    @Override
    public String toString() {
        return "Prompt[" + bytes.length + " bytes]";
    }
}
