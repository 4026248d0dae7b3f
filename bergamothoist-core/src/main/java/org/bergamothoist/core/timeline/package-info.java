/** The time line of events over all processes. */
package org.bergamothoist.core.timeline;
