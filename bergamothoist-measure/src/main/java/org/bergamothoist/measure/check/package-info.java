/**
 * Long randomised runs of the real decision code on a virtual clock. Small fakes stand at the
 * interfaces to outside systems; the guarantees are checked from outside and by the invariants
 * inside the nodes.
 */
package org.bergamothoist.measure.check;
