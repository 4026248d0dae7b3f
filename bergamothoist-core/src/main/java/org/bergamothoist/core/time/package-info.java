/** Scheduling; the clock is {@link java.time.InstantSource}, passed in everywhere. */
package org.bergamothoist.core.time;
