package org.bergamothoist.core.prompt;

import java.util.Arrays;

/**
 * The chained hashes of a prompt's full blocks. Equal hashes at an index mean equal prefixes up to
 * the end of that block under the same organisation, model, adapter and version.
 */
public final class BlockHashChain {

    private final long[] hashes;
    private final int promptTokens;
    private final int blockTokens;

    /**
     * Creates a chain.
     *
     * @param hashes one hash for each full block, in order
     * @param promptTokens tokens of the whole prompt, partial tail block included
     * @param blockTokens tokens of a full block
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

    /** Returns the tokens of the whole prompt. */
    public int promptTokens() {
        return promptTokens;
    }

    /** Returns the tokens of a full block. */
    public int blockTokens() {
        return blockTokens;
    }

    /** Returns the tokens left to compute if the first {@code cachedBlocks} blocks are cached. */
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
