/**
 * Interfaces to external systems: engines, plain services, the log, the list of VMs, the weight
 * store and the KV cache store. Each supported implementation of such a system has one adapter.
 *
 * <p>Results arrive on any thread; controllers pass them to their control thread.
 */
package org.bergamothoist.core.platform;
