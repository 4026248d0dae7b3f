/** Leases with fencing numbers, and reconciliation of engines under such a lease. */
package org.bergamothoist.core.order;
