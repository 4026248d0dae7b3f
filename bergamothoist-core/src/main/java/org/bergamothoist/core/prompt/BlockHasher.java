package org.bergamothoist.core.prompt;

import java.nio.charset.StandardCharsets;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * Hashes the blocks of prompts. The seed covers organisation, model, adapter and version, so that
 * no two of them share a hash chain.
 */
public final class BlockHasher {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private final int blockTokens;

    /**
     * Creates a hasher.
     *
     * @param blockTokens tokens of a full block, at least 1
     */
    public BlockHasher(int blockTokens) {
        if (blockTokens < 1) {
            throw new IllegalArgumentException("block size must be positive: " + blockTokens);
        }
        this.blockTokens = blockTokens;
    }

    /** Returns the seed of all chains of an organisation under a model key. */
    public static long seed(OrganisationId organisation, ModelKey key) {
        String text =
                organisation.value()
                        + '\0'
                        + key.model()
                        + '\0'
                        + key.adapter()
                        + '\0'
                        + key.version();
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return hash(FNV_OFFSET, bytes, 0, bytes.length);
    }

    /** Returns the chain of the prompt's full blocks. */
    public BlockChain chain(OrganisationId organisation, ModelKey key, Prompt prompt) {
        byte[] bytes = prompt.bytes();
        int blockBytes = blockTokens * Prompt.BYTES_PER_TOKEN;
        long[] hashes = new long[bytes.length / blockBytes];
        long previous = seed(organisation, key);
        for (int index = 0; index < hashes.length; index++) {
            previous = hash(previous, bytes, index * blockBytes, blockBytes);
            hashes[index] = previous;
        }
        return new BlockChain(hashes, prompt.estimatedTokens(), blockTokens);
    }

    private static long hash(long start, byte[] bytes, int offset, int length) {
        long hash = start;
        for (int index = offset; index < offset + length; index++) {
            hash = (hash ^ (bytes[index] & 0xff)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Spreads the bits, since the low bits of the byte-wise hash are weak. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 32)) * 0xd6e8feb86659fd93L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xd6e8feb86659fd93L;
        return mixed ^ (mixed >>> 32);
    }
}
