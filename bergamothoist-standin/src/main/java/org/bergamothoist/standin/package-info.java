/**
 * Small stand-ins for the platform's outside systems, for tests and demonstrations. They serve the
 * HTTP forms of {@code docs/outside-systems.md} on loopback.
 *
 * <p>Each server and its state are confined to one event loop; control methods may be called from
 * any other thread and return when they have taken effect.
 */
package org.bergamothoist.standin;
