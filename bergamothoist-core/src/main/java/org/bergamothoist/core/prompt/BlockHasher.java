package org.bergamothoist.core.prompt;

import java.lang.invoke.MethodHandles;
import java.lang.invoke.VarHandle;
import java.nio.ByteOrder;
import java.nio.charset.StandardCharsets;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;

/**
 * Hashes the blocks of prompts. The seed covers organisation, model, adapter and version, so that
 * no two of them share a hash chain.
 */
public final class BlockHasher {

    private static final VarHandle LONGS =
            MethodHandles.byteArrayViewVarHandle(long[].class, ByteOrder.LITTLE_ENDIAN);

    private static final long START = 0xcbf29ce484222325L;

    /** Odd factors with well-mixed bits. */
    private static final long WORD_FACTOR = 0x9fb21c651e98df25L;

    private static final long ROUND_FACTOR = 0xd6e8feb86659fd93L;
    private static final int ROTATION = 29;
    private static final int BYTE_MASK = 0xff;

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
        return hash(START, bytes, 0, bytes.length);
    }

    /** Returns the chain of the prompt's full blocks. */
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

    /** Takes eight bytes at a time; prompts are long, and each request is hashed once. */
    private static long hash(long start, byte[] bytes, int offset, int length) {
        long hash = start + length * ROUND_FACTOR;
        int end = offset + length;
        int index = offset;
        for (; index + Long.BYTES <= end; index += Long.BYTES) {
            hash = round(hash, (long) LONGS.get(bytes, index));
        }
        for (; index < end; index++) {
            hash = round(hash, bytes[index] & BYTE_MASK);
        }
        return mix(hash);
    }

    private static long round(long hash, long word) {
        return Long.rotateLeft(hash ^ (word * WORD_FACTOR), ROTATION) * ROUND_FACTOR;
    }

    /** Spreads the bits, since the low bits of a product depend on few input bits. */
    private static long mix(long value) {
        long mixed = (value ^ (value >>> 32)) * 0xd6e8feb86659fd93L;
        mixed = (mixed ^ (mixed >>> 32)) * 0xd6e8feb86659fd93L;
        return mixed ^ (mixed >>> 32);
    }
}
