package org.bergamothoist.standin;

import java.time.Duration;
import java.util.List;
import org.bergamothoist.core.identity.ModelKey;

/**
 * Describes the stand-ins of a deployment.
 *
 * @param engine settings of every engine; each gets its own seed
 * @param listLag lag of the list of VMs
 * @param loadTime time of a weight load when at most two servers load
 * @param cacheStoreBytes memory of the KV cache store
 * @param eventLoops number of threads
 */
public record PlatformSettings(
        EngineSettings engine,
        LogSettings log,
        Duration listLag,
        Duration loadTime,
        long cacheStoreBytes,
        int eventLoops) {

    /** Returns settings for short tests and demonstrations. */
    public static PlatformSettings defaults(ModelKey model) {
        return new PlatformSettings(
                EngineSettings.defaults(List.of(model)),
                LogSettings.defaults(),
                Duration.ofSeconds(1),
                Duration.ofSeconds(2),
                16 << 20,
                4);
    }

    /** Returns these settings with other engines. */
    public PlatformSettings with(EngineSettings newEngine) {
        return new PlatformSettings(newEngine, log, listLag, loadTime, cacheStoreBytes, eventLoops);
    }

    /** Returns these settings with another log. */
    public PlatformSettings with(LogSettings newLog) {
        return new PlatformSettings(engine, newLog, listLag, loadTime, cacheStoreBytes, eventLoops);
    }

    /** Returns these settings with another lag of the list and time of a weight load. */
    public PlatformSettings withTimes(Duration newListLag, Duration newLoadTime) {
        return new PlatformSettings(
                engine, log, newListLag, newLoadTime, cacheStoreBytes, eventLoops);
    }
}
