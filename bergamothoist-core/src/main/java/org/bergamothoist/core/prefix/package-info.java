/** Prompts whose parts are named by callers, and the engines that hold them. */
package org.bergamothoist.core.prefix;
