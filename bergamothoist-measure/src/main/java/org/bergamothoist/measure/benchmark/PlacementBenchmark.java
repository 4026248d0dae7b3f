package org.bergamothoist.measure.benchmark;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.bergamothoist.core.cache.CacheIndexSettings;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.placement.PlacementDecision;
import org.bergamothoist.core.placement.PlacementRequest;
import org.bergamothoist.core.platform.CacheEvent;
import org.bergamothoist.core.platform.CacheEventPage;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;

/** Measures the placement of one request and updates of the index. */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class PlacementBenchmark {

    private static final int EVENTS = 100;

    /** Size of the fleet. */
    @Param public FleetSize size;

    private FleetState state;
    private long sequence;

    /** Fills the index. */
    @Setup(Level.Trial)
    public void setUp() {
        state = new FleetState(size, CacheIndexSettings.DEFAULT_MAXIMUM_ENTRIES);
        state.fill();
    }

    /** Chooses a target. */
    @Benchmark
    public Optional<PlacementDecision> choose() {
        return state.policy().choose(state.anyRequest(), state);
    }

    /** Chooses a target and counts the dispatch in the index. */
    @Benchmark
    public Optional<PlacementDecision> chooseAndDispatch() {
        PlacementRequest request = state.anyRequest();
        Optional<PlacementDecision> decision = state.policy().choose(request, state);
        decision.ifPresent(choice -> state.index().onDispatch(choice.target(), request.chain()));
        return decision;
    }

    /** Applies a page of 100 cache events. */
    @Benchmark
    public void eventPage() {
        TargetId target = state.anyTarget();
        EngineIncarnation incarnation = state.index().incarnation(target).orElseThrow();
        List<CacheEvent> events = new ArrayList<>(EVENTS);
        for (int index = 0; index < EVENTS; index++) {
            sequence++;
            events.add(new CacheEvent(sequence, CacheEvent.Kind.STORED, state.anyHash()));
        }
        state.index().onEvents(target, new CacheEventPage(incarnation, events));
    }
}
