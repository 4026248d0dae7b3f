package org.bergamothoist.standin;

import io.netty.channel.EventLoopGroup;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.standin.internal.Json;

/** The KV cache store, which keeps blocks in bounded memory and drops the least recently used. */
public final class CacheStoreStandIn implements AutoCloseable {

    private final long maximumBytes;
    private final StandInHttpServer server;
    private final Map<BlockName, byte[]> blocks = new LinkedHashMap<>(16, 0.75f, true);
    private long bytes;
    private boolean down;

    /** Full key of a stored block. */
    record BlockName(String organisation, ModelKey modelKey, String blockHash) {}

    private record Lookup(
            String organisation,
            String model,
            String adapter,
            String version,
            List<String> blockHashes) {}

    private record LookupAnswer(int storedBlocks) {}

    /** Starts an empty store. */
    public CacheStoreStandIn(EventLoopGroup group, long maximumBytes) {
        this.maximumBytes = maximumBytes;
        this.server = StandInHttpServer.start(group, this::handle);
    }

    /** Returns the TCP port. */
    public int port() {
        return server.port();
    }

    /** Returns how many blocks the store holds. */
    public synchronized int storedBlocks() {
        return blocks.size();
    }

    /** Answers all calls with 503. */
    public synchronized void down() {
        down = true;
    }

    /** Answers again. */
    public synchronized void recover() {
        down = false;
    }

    /** Stores a block; returns false if the store is down. */
    synchronized boolean put(BlockName name, byte[] block) {
        if (down) {
            return false;
        }
        byte[] previous = blocks.put(name, block);
        bytes += block.length - (previous == null ? 0 : previous.length);
        Iterator<byte[]> oldest = blocks.values().iterator();
        while (bytes > maximumBytes && oldest.hasNext()) {
            bytes -= oldest.next().length;
            oldest.remove();
        }
        return true;
    }

    /** Returns a block, or nothing if the store lacks it or is down. */
    synchronized Optional<byte[]> get(BlockName name) {
        return down ? Optional.empty() : Optional.ofNullable(blocks.get(name));
    }

    @Override
    public void close() {
        server.close();
    }

    private synchronized void handle(StandInRequest request, StandInResponse response) {
        if (down) {
            response.message(503, "store is out of service");
            return;
        }
        List<String> path = request.segments();
        if (request.method().equals("POST") && path.equals(List.of("lookups"))) {
            response.json(200, lookUp(Json.read(request.body(), Lookup.class)));
        } else if (path.size() == 6 && path.get(0).equals("blocks")) {
            ModelKey key = new ModelKey(path.get(2), path.get(3), path.get(4));
            serveBlock(request, response, new BlockName(path.get(1), key, path.get(5)));
        } else {
            response.message(404, "unknown path");
        }
    }

    private LookupAnswer lookUp(Lookup lookup) {
        ModelKey key = new ModelKey(lookup.model(), lookup.adapter(), lookup.version());
        int stored = 0;
        for (String hash : lookup.blockHashes()) {
            if (get(new BlockName(lookup.organisation(), key, hash)).isEmpty()) {
                break;
            }
            stored++;
        }
        return new LookupAnswer(stored);
    }

    private void serveBlock(StandInRequest request, StandInResponse response, BlockName name) {
        if (request.method().equals("PUT")) {
            put(name, request.body());
            response.empty(204);
            return;
        }
        Optional<byte[]> block = get(name);
        if (block.isEmpty()) {
            response.message(404, "block is not stored");
            return;
        }
        response.send(200, Map.of("Content-Type", "application/octet-stream"), block.get());
    }
}
