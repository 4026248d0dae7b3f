/**
 * Claims recorded in the shared log, which ensure that a non-idempotent request runs at most once.
 */
package org.bergamothoist.core.claim;
