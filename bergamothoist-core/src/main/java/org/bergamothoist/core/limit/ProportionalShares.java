package org.bergamothoist.core.limit;

/** Divides a pool in proportion to demands, with a minimum for each. */
final class ProportionalShares {

    private ProportionalShares() {}

    /**
     * Returns the share of the first demand. Each share is the larger of min(demand, floor) and λ ×
     * demand, where λ is chosen so that the shares add up to the pool.
     *
     * @param count number of demands to use, all of which must be positive
     * @param floor minimum share of a demand that is at least as large; at most the pool divided by
     *     the count
     */
    static double firstShare(double[] demands, int count, double pool, double floor) {
        boolean[] atFloor = new boolean[count];
        double remaining = pool;
        while (true) {
            double factor = remaining / sumAboveFloor(demands, count, atFloor);
            boolean changed = false;
            for (int index = 0; index < count; index++) {
                double minimum = Math.min(demands[index], floor);
                if (!atFloor[index] && factor * demands[index] < minimum) {
                    atFloor[index] = true;
                    remaining -= minimum;
                    changed = true;
                }
            }
            if (!changed) {
                return atFloor[0] ? Math.min(demands[0], floor) : factor * demands[0];
            }
        }
    }

    private static double sumAboveFloor(double[] demands, int count, boolean[] atFloor) {
        double sum = 0;
        for (int index = 0; index < count; index++) {
            if (!atFloor[index]) {
                sum += demands[index];
            }
        }
        return sum;
    }
}
