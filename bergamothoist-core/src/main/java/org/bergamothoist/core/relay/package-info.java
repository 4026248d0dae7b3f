/** Decisions about one caller's request: repetition, refusal and outcome. */
package org.bergamothoist.core.relay;
