/** Guarantees that are checked at run time. */
package org.bergamothoist.core.invariant;
