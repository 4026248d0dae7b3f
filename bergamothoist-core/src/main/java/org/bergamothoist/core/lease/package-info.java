/** Lease that allows one daemon at a time to send orders, based on conditional appends to a log. */
package org.bergamothoist.core.lease;
