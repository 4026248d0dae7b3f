/** Prompts and the chained hashes of their blocks. */
package org.bergamothoist.core.prompt;
