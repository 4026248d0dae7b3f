package org.bergamothoist.standin;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import org.bergamothoist.core.identity.ModelKey;

/** The models that an engine stand-in has loaded, is loading and is ordered to load. */
final class EngineModels {

    private static final Duration STORE_RETRY = Duration.ofMillis(500);

    private final WeightStoreStandIn store;
    private final BiConsumer<Duration, Runnable> timer;
    private final Runnable onLoaded;
    private final Set<ModelKey> ready;
    private Set<ModelKey> wanted;
    private Set<ModelKey> loading = Set.of();
    private boolean loadRuns;

    EngineModels(
            List<ModelKey> models,
            WeightStoreStandIn store,
            BiConsumer<Duration, Runnable> timer,
            Runnable onLoaded) {
        this.store = store;
        this.timer = timer;
        this.onLoaded = onLoaded;
        this.ready = new LinkedHashSet<>(models);
        this.wanted = new LinkedHashSet<>(models);
    }

    boolean ready(ModelKey key) {
        return ready.contains(key);
    }

    List<EngineMessages.ReportedModel> report() {
        List<EngineMessages.ReportedModel> report = new ArrayList<>();
        ready.forEach(key -> report.add(message(key, "ready")));
        loading.forEach(key -> report.add(message(key, "loading")));
        return report;
    }

    /** Unloads what is not named, and loads what is missing; a repeated order changes nothing. */
    void order(Set<ModelKey> models) {
        wanted = new LinkedHashSet<>(models);
        ready.retainAll(wanted);
        loadMissing();
    }

    /** Stops a running load, as a crash does. */
    void abandonLoad() {
        if (loadRuns) {
            store.endLoad();
        }
        loadRuns = false;
        loading = Set.of();
    }

    /** Loads what is missing, in one go for all missing models. */
    void loadMissing() {
        if (!loading.isEmpty()) {
            return;
        }
        Set<ModelKey> missing = new LinkedHashSet<>(wanted);
        missing.removeAll(ready);
        missing.removeIf(key -> !store.contains(key));
        if (missing.isEmpty()) {
            return;
        }
        loading = missing;
        beginLoad();
    }

    private void beginLoad() {
        Optional<Duration> time = store.beginLoad();
        if (time.isEmpty()) {
            timer.accept(STORE_RETRY, this::beginLoad);
            return;
        }
        loadRuns = true;
        timer.accept(time.get(), this::finishLoad);
    }

    private void finishLoad() {
        store.endLoad();
        loadRuns = false;
        loading.stream().filter(wanted::contains).forEach(ready::add);
        loading = Set.of();
        onLoaded.run();
        loadMissing();
    }

    private static EngineMessages.ReportedModel message(ModelKey key, String state) {
        return new EngineMessages.ReportedModel(key.model(), key.adapter(), key.version(), state);
    }
}
