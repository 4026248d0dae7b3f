/**
 * Slopes of processor time, memory and message size, from which {@code docs/CAPACITY.md} is worked
 * out.
 */
package org.bergamothoist.measure.capacity;
