/**
 * Adapters that reach the outside systems over HTTP. No adapter ever sends a request twice on its
 * own: repeats are decided by the core, which knows whether a request may run again.
 */
package org.bergamothoist.daemon.adapter;
