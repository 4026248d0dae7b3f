package org.bergamothoist.core.prompt;

import java.util.Arrays;

/**
 * The chained hashes of a prompt's full blocks. Each hash covers all blocks up to its own, so that
 * equal hashes at an index mean equal prefixes up to the end of that block, for the same
 * organisation, model, adapter and version.
 */
public final class BlockHashChain {

    private final long[] hashes;
    private final int promptTokens;
    private final int blockTokens;

    /**
     * Creates a chain.
     *
     * @param hashes one hash for each full block, in order
     * @param promptTokens tokens of the whole prompt, including an incomplete last block
     * @param blockTokens tokens per full block
     */
    public BlockHashChain(long[] hashes, int promptTokens, int blockTokens) {
        this.hashes = hashes.clone();
        this.promptTokens = promptTokens;
        this.blockTokens = blockTokens;
    }

    /** Returns the number of full blocks. */
    public int length() {
        return hashes.length;
    }

    /** Returns the chained hash of the block at the index. */
    public long hash(int index) {
        return hashes[index];
    }

    /** Returns the number of tokens of the whole prompt. */
    public int promptTokens() {
        return promptTokens;
    }

    /** Returns the number of tokens per full block. */
    public int blockTokens() {
        return blockTokens;
    }

    /** Returns the number of tokens to compute if the first {@code cachedBlocks} are cached. */
    public int uncachedTokens(int cachedBlocks) {
        return Math.max(0, promptTokens - cachedBlocks * blockTokens);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof BlockHashChain chain
                && promptTokens == chain.promptTokens
                && blockTokens == chain.blockTokens
                && Arrays.equals(hashes, chain.hashes);
    }

    @Override
    public int hashCode() {
        return Arrays.hashCode(hashes);
    }
}
