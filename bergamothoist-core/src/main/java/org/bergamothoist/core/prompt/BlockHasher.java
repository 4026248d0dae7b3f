package org.bergamothoist.core.prompt;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * Computes the chained hashes of prompt blocks. The chain is seeded with organisation, model,
 * adapter and version, so that cache entries are never shared between different ones.
 */
public final class BlockHasher {

    private static final VarHandle LONG_VIEW =
            MethodHandles.byteArrayViewVarHandle(long[].class, ByteOrder.LITTLE_ENDIAN);

    private static final long INITIAL_STATE = 0xcbf29ce484222325L;

    /** Odd multipliers with well-distributed bits. */
    private static final long WORD_FACTOR = 0x9fb21c651e98df25L;

    private static final long ROUND_FACTOR = 0xd6e8feb86659fd93L;
    private static final int ROTATION = 29;
    private static final int BYTE_MASK = 0xff;

    private final int blockTokens;

    /**
     * Creates a hasher.
     *
     * @param blockTokens tokens per full block, at least 1
     */
    public BlockHasher(int blockTokens) {
        if (blockTokens < 1) {
            throw new IllegalArgumentException(
                    "block size must be at least 1 token: " + blockTokens);
        }
        this.blockTokens = blockTokens;
    }

    /** Returns the seed of the hash chains of an organisation and a model key. */
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
        return hash(INITIAL_STATE, bytes, 0, bytes.length);
    }

    /**
     * Returns the chained hashes of the prompt's full blocks; an incomplete last block is omitted.
     */
    public BlockHashChain hashChain(OrganisationId organisation, ModelKey key, Prompt prompt) {
        byte[] bytes = prompt.sharedBytes();
        int blockBytes = blockTokens * Prompt.BYTES_PER_TOKEN;
        long[] hashes = new long[bytes.length / blockBytes];
        long previous = seed(organisation, key);
        for (int index = 0; index < hashes.length; index++) {
            previous = hash(previous, bytes, index * blockBytes, blockBytes);
            hashes[index] = previous;
        }
        return new BlockHashChain(hashes, prompt.estimatedTokens(), blockTokens);
    }

    /** Processes eight bytes at a time, because prompts are long and every request is hashed. */
    private static long hash(long start, byte[] bytes, int offset, int length) {
        long hash = start + length * ROUND_FACTOR;
        int end = offset + length;
        int index = offset;
        for (; index + Long.BYTES <= end; index += Long.BYTES) {
            hash = round(hash, (long) LONG_VIEW.get(bytes, index));
        }
        for (; index < end; index++) {
            hash = round(hash, bytes[index] & BYTE_MASK);
        }
        return mix(hash);
    }

    private static long round(long hash, long word) {
        return Long.rotateLeft(hash ^ (word * WORD_FACTOR), ROTATION) * ROUND_FACTOR;
    }

    /** Mixes high bits into low ones; the low bits of a product depend on few input bits. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 32)) * 0xd6e8feb86659fd93L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xd6e8feb86659fd93L;
        return mixed ^ (mixed >>> 32);
    }
}
