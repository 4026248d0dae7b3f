/** A timeline of events that can be merged across processes. */
package org.bergamothoist.core.timeline;
