/** A structured log of decisions, for the analysis of failures. */
package org.bergamothoist.core.decision;
