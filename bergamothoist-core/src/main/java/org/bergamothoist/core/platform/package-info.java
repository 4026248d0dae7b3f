/**
 * Interfaces to the systems outside: engines, plain services, the log, the list of VMs, the weight
 * store and the KV cache store. Each published form of such a system is one adapter.
 *
 * <p>Answers arrive on any thread; controllers post them to their control thread.
 */
package org.bergamothoist.core.platform;
