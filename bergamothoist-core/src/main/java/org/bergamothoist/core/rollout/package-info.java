/** Brings new weights to engines, a few at a time. */
package org.bergamothoist.core.rollout;
