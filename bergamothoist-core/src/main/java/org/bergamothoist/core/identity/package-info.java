/** Immutable identifiers of organisations, daemons, targets, models and requests. */
package org.bergamothoist.core.identity;
