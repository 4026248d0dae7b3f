/**
 * A daemon's work besides relaying requests: gossip with other daemons, polling of caches, rollout
 * of weights, auxiliary HTTP endpoints and the decision log.
 */
package org.bergamothoist.gateway.control;
