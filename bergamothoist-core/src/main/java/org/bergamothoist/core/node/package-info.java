/** One daemon's decisions, wired together. */
package org.bergamothoist.core.node;
