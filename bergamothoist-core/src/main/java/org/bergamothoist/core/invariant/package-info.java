/** Guarantees asserted inside the running program. */
package org.bergamothoist.core.invariant;
