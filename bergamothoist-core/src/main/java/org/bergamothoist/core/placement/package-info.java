/**
 * Placement: the choice of the target that a request is dispatched to. All classes are confined to
 * the control thread.
 */
package org.bergamothoist.core.placement;
