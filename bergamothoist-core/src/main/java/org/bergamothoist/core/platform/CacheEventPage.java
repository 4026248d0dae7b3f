package org.bergamothoist.core.platform;

import java.util.List;
import org.bergamothoist.core.identity.EngineIncarnation;

/** Cache events of one engine incarnation, ordered by sequence number, possibly with gaps. */
public record CacheEventPage(EngineIncarnation incarnation, List<CacheEvent> events) {

    public CacheEventPage {
        events = List.copyOf(events);
    }
}
