/**
 * Admission control: queues, fair sharing, deadlines, organisation limits, retry budgets and
 * hedging. All classes are confined to the control thread.
 */
package org.bergamothoist.core.limit;
