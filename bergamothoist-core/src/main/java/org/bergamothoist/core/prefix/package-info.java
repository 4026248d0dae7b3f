/**
 * Placement of prompts whose parts are identified by callers, at engines that have these parts
 * cached.
 */
package org.bergamothoist.core.prefix;
