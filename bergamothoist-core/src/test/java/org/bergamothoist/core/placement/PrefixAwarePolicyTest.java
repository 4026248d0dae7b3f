package org.bergamothoist.core.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.bergamothoist.core.cache.CacheIndex;
import org.bergamothoist.core.cache.CacheIndexSettings;
import org.bergamothoist.core.cache.ManualScheduler;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.EngineIncarnation;
import org.bergamothoist.core.identity.ModelKey;
import org.bergamothoist.core.identity.OrganisationId;
import org.bergamothoist.core.identity.TargetId;
import org.bergamothoist.core.peer.PeerMessage.Outstanding;
import org.bergamothoist.core.prompt.BlockHashChain;
import org.junit.jupiter.api.Test;

class PrefixAwarePolicyTest {

    private static final ModelKey OLD_WEIGHTS = new ModelKey("atelier", ModelKey.NO_ADAPTER, "1");
    private static final ModelKey NEW_WEIGHTS = new ModelKey("atelier", ModelKey.NO_ADAPTER, "2");
    private static final OrganisationId CLINIC = new OrganisationId("clinic");
    private static final LoadSettings LOAD_SETTINGS =
            new LoadSettings(40_000, 48, Duration.ofSeconds(10), Duration.ofSeconds(3));

    private final ManualScheduler time = new ManualScheduler();

    /** Guards against choosing an engine without the prefix while one that holds it is idle. */
    @Test
    void prefersTheHolderOfTheLongestPrefix() {
        Daemon daemon = new Daemon(8, 1);
        daemon.index.onAnswer(target(5), incarnation(5), chain(1), 0);

        PlacementDecision decision = daemon.choose(request(OLD_WEIGHTS, chain(1), Set.of(), false));

        assertThat(decision.target()).isEqualTo(target(5));
        assertThat(decision.cachedBlocks()).isEqualTo(20);
    }

    /**
     * Guards against choosing excluded targets, engines with other weights, and engines that
     * already run a suspect.
     */
    @Test
    void neverChoosesExcludedOrIneligibleTargets() {
        Daemon daemon = new Daemon(3, 2);
        daemon.index.onAnswer(target(0), incarnation(0), chain(1), 0);
        daemon.eligible.put(NEW_WEIGHTS, EligibleTargets.of(List.of(target(2))));
        daemon.suspects.add(target(1));

        for (int round = 0; round < 50; round++) {
            PlacementRequest suspect = request(OLD_WEIGHTS, chain(1), Set.of(target(0)), true);
            assertThat(daemon.choose(suspect).target()).isEqualTo(target(2));
            assertThat(daemon.choose(request(NEW_WEIGHTS, chain(1), Set.of(), false)).target())
                    .as("weights changed")
                    .isEqualTo(target(2));
        }
    }

    /**
     * Guards against cache hits for blocks of the old weights after an engine has loaded new ones.
     */
    @Test
    void newWeightsInvalidateCacheImmediately() {
        Daemon daemon = new Daemon(1, 3);
        daemon.index.onAnswer(target(0), incarnation(0), chain(1), 0);
        daemon.index.observeIncarnation(target(0), new EngineIncarnation("run-0-new-weights"));

        PlacementDecision decision = daemon.choose(request(OLD_WEIGHTS, chain(1), Set.of(), false));

        assertThat(decision.cachedBlocks()).isZero();
    }

    /**
     * Guards against herding: all daemons sending uncached requests to the engine last reported
     * idle.
     */
    @Test
    void daemonsDoNotAllChooseTheLastReportedIdleEngine() {
        Map<TargetId, Integer> chosen = new HashMap<>();
        for (int number = 0; number < 6; number++) {
            Daemon daemon = new Daemon(8, number);
            for (int engine = 0; engine < 8; engine++) {
                daemon.load.onReport(target(engine), engine == 3 ? 0 : 20_000, 30);
            }
            for (int prompt = 0; prompt < 10; prompt++) {
                BlockHashChain chain = chain(1_000 * number + prompt);
                PlacementDecision decision =
                        daemon.choose(request(OLD_WEIGHTS, chain, Set.of(), false));
                daemon.load.onDispatch(
                        decision.target(), chain.uncachedTokens(decision.cachedBlocks()));
                chosen.merge(decision.target(), 1, Integer::sum);
            }
        }
        assertThat(chosen.get(target(3))).isLessThan(60 / 3);
        assertThat(chosen).hasSizeGreaterThanOrEqualTo(7);
    }

    /**
     * Guards against requests that wait for a full holder of the prefix while other engines are
     * idle.
     */
    @Test
    void hotPrefixSpreadsBeforeItsEngineIsFull() {
        Daemon daemon = new Daemon(8, 4);
        daemon.index.onAnswer(target(5), incarnation(5), chain(1), 0);
        Set<TargetId> chosen = new HashSet<>();
        int mostStreams = 0;
        for (int request = 0; request < 120; request++) {
            PlacementDecision decision =
                    daemon.choose(request(OLD_WEIGHTS, chain(1), Set.of(), false));
            daemon.load.onDispatch(decision.target(), 2_000);
            daemon.load.onPrefillFinished(decision.target(), 2_000);
            daemon.index.onDispatch(decision.target(), chain(1));
            chosen.add(decision.target());
            mostStreams = Math.max(mostStreams, daemon.load.streams(target(5)));
            time.advance(Duration.ofMillis(100));
        }
        assertThat(chosen).hasSizeGreaterThan(2);
        assertThat(mostStreams).isLessThanOrEqualTo(LOAD_SETTINGS.streamsPerTarget());
    }

    /**
     * Guards against daemons that compute the history of a new conversation at different engines.
     */
    @Test
    void daemonsAgreeOnThePreferredTargetOfAnUnseenConversation() {
        Set<TargetId> chosen = new HashSet<>();
        for (int number = 0; number < 6; number++) {
            Daemon daemon = new Daemon(8, 50 + number);
            for (int other = 0; other < 10; other++) {
                daemon.index.onDispatch(target(0), chain(100 * number + other));
            }
            chosen.add(daemon.choose(request(OLD_WEIGHTS, chain(9_999), Set.of(), false)).target());
        }
        assertThat(chosen).hasSize(1);
    }

    /** Guards against counting the work of dead peers forever, and against negative load. */
    @Test
    void peerLoadIsReplacedAndExpires() {
        LoadEstimator load = new LoadEstimator(LOAD_SETTINGS, time);
        DaemonId peer = new DaemonId("peer", 1);
        load.onHeartbeat(peer, Map.of(target(0), new Outstanding(8_000, 4)));
        load.onHeartbeat(peer, Map.of(target(0), new Outstanding(4_000, 2)));
        assertThat(load.streams(target(0))).isEqualTo(2);
        assertThat(load.queuedTokens(target(0))).isEqualTo(4_000);

        time.advance(Duration.ofSeconds(4));
        load.onHeartbeat(new DaemonId("other", 1), Map.of());
        assertThat(load.streams(target(0))).isZero();
        assertThat(load.liveDaemons()).isEqualTo(2);
    }

    private static TargetId target(int number) {
        return new TargetId("engine-" + number);
    }

    private static EngineIncarnation incarnation(int number) {
        return new EngineIncarnation("run-" + number);
    }

    /**
     * Returns two blocks of a common system prompt followed by 18 blocks of the conversation's
     * history.
     */
    private static BlockHashChain chain(int conversation) {
        long[] hashes = new long[20];
        Random random = new Random(conversation);
        for (int index = 0; index < hashes.length; index++) {
            hashes[index] = index < 2 ? 7 + index : random.nextLong();
        }
        return new BlockHashChain(hashes, 81_000, 4_000);
    }

    private static PlacementRequest request(
            ModelKey key, BlockHashChain chain, Set<TargetId> excluded, boolean suspect) {
        return new PlacementRequest(chain, key, CLINIC, 5, excluded, suspect);
    }

    private final class Daemon implements PlacementView {
        private final CacheIndex index =
                new CacheIndex(
                        CacheIndexSettings.standard(),
                        time,
                        (guarantee, holds, detail) -> assertThat(holds).isTrue());
        private final LoadEstimator load = new LoadEstimator(LOAD_SETTINGS, time);
        private final Map<ModelKey, EligibleTargets> eligible = new HashMap<>();
        private final Set<TargetId> suspects = new HashSet<>();
        private final PlacementPolicy policy;

        private Daemon(int engines, long seed) {
            List<TargetId> targets =
                    new ArrayList<>(
                            IntStream.range(0, engines)
                                    .mapToObj(PrefixAwarePolicyTest::target)
                                    .toList());
            eligible.put(OLD_WEIGHTS, EligibleTargets.of(targets));
            IntStream.range(0, engines)
                    .forEach(
                            engine ->
                                    index.observeIncarnation(target(engine), incarnation(engine)));
            policy =
                    new PrefixAwarePolicy(
                            PlacementSettings.standard(PlacementWeights.BRUNNER), new Random(seed));
        }

        private PlacementDecision choose(PlacementRequest request) {
            return policy.choose(request, this).orElseThrow();
        }

        @Override
        public EligibleTargets eligible(ModelKey key) {
            return eligible.get(key);
        }

        @Override
        public boolean runsSuspect(TargetId target) {
            return suspects.contains(target);
        }

        @Override
        public CacheIndex index() {
            return index;
        }

        @Override
        public LoadEstimator load() {
            return load;
        }
    }
}
