/** Admission and retry policies for callers' requests. */
package org.bergamothoist.core.relay;
