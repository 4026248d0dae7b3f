package org.bergamothoist.core.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.bergamothoist.core.identity.TargetId;

/**
 * An immutable set of targets with a consistent-hashing ring, which finds the preferred targets of
 * a block without a scan. Daemons with the same set compute the same preferred targets.
 */
public final class EligibleTargets {

    private static final EligibleTargets EMPTY = new EligibleTargets(List.of());

    /**
     * Virtual nodes of each target on the ring of a small set; more of them spread keys more
     * evenly.
     */
    private static final int POINTS_PER_TARGET_IN_SMALL_SET = 64;

    /** Virtual nodes of each target on the ring of a large set. */
    private static final int POINTS_PER_TARGET_IN_LARGE_SET = 16;

    private static final int MAXIMUM_SMALL_SET_SIZE = 64;

    private final List<TargetId> targets;
    private final Map<TargetId, Integer> indexByTarget;
    private final long[] ringPoints;
    private final int[] ringOwners;

    private EligibleTargets(List<TargetId> targets) {
        this.targets = targets;
        this.indexByTarget = new HashMap<>();
        int pointsPerTarget =
                targets.size() <= MAXIMUM_SMALL_SET_SIZE
                        ? POINTS_PER_TARGET_IN_SMALL_SET
                        : POINTS_PER_TARGET_IN_LARGE_SET;
        Map<Long, Integer> ring = new HashMap<>();
        for (int index = 0; index < targets.size(); index++) {
            indexByTarget.put(targets.get(index), index);
            for (int virtualNode = 0; virtualNode < pointsPerTarget; virtualNode++) {
                ring.putIfAbsent(ringPoint(targets.get(index), virtualNode), index);
            }
        }
        this.ringPoints = ring.keySet().stream().mapToLong(Long::longValue).sorted().toArray();
        this.ringOwners = Arrays.stream(ringPoints).mapToInt(ring::get).toArray();
    }

    /** Returns the set of the given targets, without duplicates. */
    public static EligibleTargets of(Collection<TargetId> targets) {
        return targets.isEmpty()
                ? EMPTY
                : new EligibleTargets(targets.stream().sorted().distinct().toList());
    }

    /** Returns the targets, sorted by name. */
    public List<TargetId> targets() {
        return targets;
    }

    /** Returns whether the set contains the target. */
    public boolean contains(TargetId target) {
        return indexByTarget.containsKey(target);
    }

    /**
     * Returns the key's preferred targets: the first distinct targets on the ring from the key's
     * position on.
     *
     * @param count number of targets to return; fewer if the set is smaller
     */
    public List<TargetId> preferredTargets(long key, int count) {
        int resultSize = Math.min(count, targets.size());
        List<TargetId> preferred = new ArrayList<>(resultSize);
        int searchResult = Arrays.binarySearch(ringPoints, mix(key));
        int point = searchResult >= 0 ? searchResult : -searchResult - 1;
        while (preferred.size() < resultSize) {
            TargetId target = targets.get(ringOwners[point % ringPoints.length]);
            if (!preferred.contains(target)) {
                preferred.add(target);
            }
            point++;
        }
        return preferred;
    }

    private static long ringPoint(TargetId target, int virtualNode) {
        long hash = 0xcbf29ce484222325L + virtualNode;
        String name = target.value();
        for (int index = 0; index < name.length(); index++) {
            hash = (hash ^ name.charAt(index)) * 0x100000001b3L;
        }
        return mix(hash + virtualNode);
    }

    static long mix(long value) {
        long mixed = (value ^ (value >>> 33)) * 0xff51afd7ed558ccdL;
        mixed = (mixed ^ (mixed >>> 33)) * 0xc4ceb9fe1a85ec53L;
        return mixed ^ (mixed >>> 33);
    }
}
