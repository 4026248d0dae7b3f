/** Leases with fencing numbers, and the orders to targets that are given under them. */
package org.bergamothoist.core.order;
