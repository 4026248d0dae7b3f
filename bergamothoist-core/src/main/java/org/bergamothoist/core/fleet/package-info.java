/** Targets as they register themselves, their health and their load. */
package org.bergamothoist.core.fleet;
