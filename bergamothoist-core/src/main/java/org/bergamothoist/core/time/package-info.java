/** Scheduling and clocks. Code gets its clock as a {@link java.time.InstantSource} parameter. */
package org.bergamothoist.core.time;
