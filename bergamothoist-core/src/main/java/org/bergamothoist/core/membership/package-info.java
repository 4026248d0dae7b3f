/**
 * Gossip membership of daemons, the directory of targets, and the selection of daemons for callers.
 */
package org.bergamothoist.core.membership;
