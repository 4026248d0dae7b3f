/** The operators' sheets: content, parsing, acceptance and differences. */
package org.bergamothoist.core.sheet;
