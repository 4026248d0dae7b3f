/**
 * Organisations' quotas: each daemon enforces its share of a limit that holds for all daemons
 * together, without asking another one.
 */
package org.bergamothoist.core.quota;
