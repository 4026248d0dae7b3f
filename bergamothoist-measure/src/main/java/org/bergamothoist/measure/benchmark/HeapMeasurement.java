package org.bergamothoist.measure.benchmark;

import java.util.Locale;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.prompt.BlockHashChain;

/** Prints the heap that each tracked block and each target take in the cache index. */
public final class HeapMeasurement {

    private static final int ENTRIES = 500_000;
    private static final int CHAIN_BLOCKS = 20;
    private static final int COLLECTIONS = 5;

    private HeapMeasurement() {}

    /** Runs the measurement; needs no arguments. */
    public static void main(String[] arguments) {
        for (FleetSize size : FleetSize.values()) {
            long before = usedBytes();
            FleetState state = new FleetState(size, ENTRIES);
            long empty = usedBytes();
            fill(state);
            long filled = usedBytes();
            double perEntry = (double) (filled - empty) / state.index().size();
            double perTarget = (double) targetBytes(state) / state.targets().size();
            System.out.printf(
                    Locale.ROOT,
                    "%-6s entries %d, %.1f bytes each; %.0f bytes for each target; state with"
                            + " requests of the benchmark %.1f MB, filled %.1f MB%n",
                    size,
                    state.index().size(),
                    perEntry,
                    perTarget,
                    (empty - before) / 1e6,
                    (filled - before) / 1e6);
        }
    }

    private static void fill(FleetState state) {
        for (int chain = 0; chain < ENTRIES / CHAIN_BLOCKS; chain++) {
            long[] hashes = new long[CHAIN_BLOCKS];
            for (int index = 0; index < CHAIN_BLOCKS; index++) {
                hashes[index] = state.anyHash();
            }
            int tokens = CHAIN_BLOCKS * FleetState.BLOCK_TOKENS;
            state.index()
                    .onDispatch(
                            state.anyTarget(),
                            new BlockHashChain(hashes, tokens, FleetState.BLOCK_TOKENS));
        }
    }

    /** Returns the bytes that as many further targets take. */
    private static long targetBytes(FleetState state) {
        long before = usedBytes();
        for (int number = 0; number < state.targets().size(); number++) {
            state.index()
                    .observeIncarnation(
                            new TargetId("other-" + number), new EngineIncarnation("o-" + number));
        }
        long bytes = usedBytes() - before;
        if (state.index().size() < 0) {
            throw new IllegalStateException("keeps the index reachable");
        }
        return bytes;
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int collection = 0; collection < COLLECTIONS; collection++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }
}
