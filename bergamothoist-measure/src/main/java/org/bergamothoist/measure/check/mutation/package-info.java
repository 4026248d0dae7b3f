/** Deliberate faults at the interfaces of a node, which the randomised checks must find. */
package org.bergamothoist.measure.check.mutation;
