/** Registered targets, their health and their load. */
package org.bergamothoist.core.fleet;
