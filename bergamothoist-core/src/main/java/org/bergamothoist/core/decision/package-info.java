/** Structured log lines about decisions, for explaining a failure afterwards. */
package org.bergamothoist.core.decision;
