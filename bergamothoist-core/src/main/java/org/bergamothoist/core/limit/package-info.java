/**
 * Admission: queues, fair sharing, deadlines, organisation limits, retry budget and hedging. All
 * classes are confined to the control thread.
 */
package org.bergamothoist.core.limit;
