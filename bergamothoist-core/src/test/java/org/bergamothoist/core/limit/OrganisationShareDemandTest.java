package org.bergamothoist.core.limit;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.OrganisationId;

class OrganisationShareDemandTest {

    private static final OrganisationId CLINIC = new OrganisationId("clinic");
    private static final int LIMIT = 30;
    private static final int DAEMONS = 6;

    private final InstantSource clock = InstantSource.fixed(Instant.EPOCH);

    /** Guards against more than the limit being admitted by all daemons together. */
    @Property(tries = 200)
    void sharesAddUpToAtMostTheLimit(
            @ForAll @Size(DAEMONS) List<@IntRange(max = 100) Integer> demands) {
        List<OrganisationShare> shares = shares();
        announce(shares, demands);
        assertThat(shares.stream().mapToDouble(this::share).sum()).isLessThanOrEqualTo(1.000001);
    }

    /** Guards against callers below the limit that are refused because they moved. */
    @Property(tries = 50)
    void aDaemonGetsItsDemandAsSoonAsItIsAnnounced(@ForAll @IntRange(max = DAEMONS - 1) int from) {
        List<OrganisationShare> shares = shares();
        int to = (from + 1) % DAEMONS;
        announce(shares, demandOf(from, 20));
        announce(shares, demandOf(to, 20));
        assertThat(share(shares.get(to)) * LIMIT).isGreaterThan(20);
        assertThat(share(shares.get(from)) * LIMIT).isLessThan(3).isGreaterThan(0.5);
    }

    /** Guards against a daemon that gets nothing because others have all the demand. */
    @Property(tries = 20)
    void equalDemandsGetEqualShares(@ForAll @IntRange(min = 1, max = 100) int demand) {
        List<OrganisationShare> shares = shares();
        announce(shares, List.of(demand, demand, demand, demand, demand, demand));
        assertThat(shares)
                .allSatisfy(each -> assertThat(share(each)).isCloseTo(1.0 / 6, within(1e-9)));
    }

    private double share(OrganisationShare share) {
        return share.share(CLINIC, LIMIT);
    }

    private List<OrganisationShare> shares() {
        List<OrganisationShare> shares = new ArrayList<>();
        for (int index = 0; index < DAEMONS; index++) {
            shares.add(new OrganisationShare(clock, Duration.ofSeconds(3)));
            shares.get(index).daemons(DAEMONS);
        }
        return shares;
    }

    private static List<Integer> demandOf(int daemon, int demand) {
        List<Integer> demands = new ArrayList<>();
        for (int index = 0; index < DAEMONS; index++) {
            demands.add(index == daemon ? demand : 0);
        }
        return demands;
    }

    private static void announce(List<OrganisationShare> shares, List<Integer> demands) {
        for (int sender = 0; sender < DAEMONS; sender++) {
            Map<OrganisationId, Integer> demand = Map.of(CLINIC, demands.get(sender));
            shares.get(sender).announced(demand);
            for (int receiver = 0; receiver < DAEMONS; receiver++) {
                if (receiver != sender) {
                    shares.get(receiver).onHeartbeat(new DaemonId("daemon-" + sender, 1), demand);
                }
            }
        }
    }
}
