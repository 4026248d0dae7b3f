package org.bergamothoist.measure.check.mutation;

import java.util.function.Supplier;
import org.bergamothoist.measure.check.Interposition;
import org.bergamothoist.measure.check.Property;

/** The deliberate faults, and the property that each must break. */
public enum Mutation {
    /** G1: reports, answers and events hide that an engine has a new incarnation. */
    HIDDEN_INCARNATION(Property.CACHE_ISOLATION, HiddenIncarnation::new),
    /** G1: all requests have the same cache salt. */
    SHARED_SALT(Property.CACHE_ISOLATION, SharedSalt::new),
    /** G2: a piece of a stream is lost and the following ones are renumbered. */
    LOST_PIECE(Property.STREAM_ORDER, LostPiece::new),
    /** G3: checkpoints cannot be read, and peers answer no snapshot requests. */
    COLD_START(Property.WARM_RESTART, ColdStart::new),
    /** G4: the text of one stream reaches another. */
    CROSSED_ANSWERS(Property.ANSWER_OWNERSHIP, CrossedAnswers::new),
    /** G5: a connection that broke after the request was sent counts as refused. */
    BROKEN_AS_NOT_SENT(Property.NOT_RUN_TRUTH, BrokenAsNotSent::new),
    /** G6: a claim counts although another daemon's claim precedes it in the log. */
    CLAIM_WITHOUT_FOLD(Property.AT_MOST_ONCE, ClaimWithoutFold::new),
    /** G7: the list shows leaving targets as live. */
    LEAVING_AS_LIVE(Property.LEAVING_TARGET, LeavingAsLive::new),
    /** G8: a planned stop does not wait for running requests. */
    HASTY_STOP(Property.GRACEFUL_STOP, HastyStop::new),
    /**
     * G9: messages of peers do not age while they are under way, and the log seems to end early.
     */
    AGELESS_MESSAGES(Property.SHEET_DURABILITY, AgelessMessages::new),
    /** G9: one daemon's fold skips sheets. */
    SKIPPED_SHEET(Property.SHEET_DURABILITY, SkippedSheet::new),
    /** Each daemon takes itself for the holder of the lease on orders. */
    LEASE_WITHOUT_FOLD(Property.LOADING_BOUND, LeaseWithoutFold::new),
    /** Daemons do not tell each other of losses of targets. */
    UNTOLD_LOSSES(Property.CRASHING_CONTENT, UntoldLosses::new);

    private final Property property;
    private final Supplier<Interposition> interposition;

    Mutation(Property property, Supplier<Interposition> interposition) {
        this.property = property;
        this.interposition = interposition;
    }

    /** Returns the property that the mutation must break. */
    public Property property() {
        return property;
    }

    /** Returns the fault for one run. */
    public Interposition create() {
        return interposition.get();
    }
}
