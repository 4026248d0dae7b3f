package org.bergamothoist.core.prompt;

import java.nio.charset.StandardCharsets;

/**
 * The text of a prompt, limited in size by the size filter. The UTF-8 form is kept because the size
 * check, the block hashes and the fingerprint all need it.
 */
public final class Prompt {

    /**
     * Estimated bytes of UTF-8 text per token. The daemon has no tokeniser; the estimate is
     * corrected by the token count that the engine reports in each response.
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

    /** Returns the length of the text in UTF-8, in bytes. */
    public int byteLength() {
        return bytes.length;
    }

    /** Returns a copy of the text in UTF-8. */
    public byte[] bytes() {
        return bytes.clone();
    }

    /** Returns the text in UTF-8 without copying; callers must not modify the array. */
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

    /** Returns the size only, because prompts contain callers' data. */
    @Override
    public String toString() {
        return "Prompt[" + bytes.length + " bytes]";
    }
}
