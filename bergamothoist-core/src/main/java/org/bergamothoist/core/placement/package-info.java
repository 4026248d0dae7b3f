/** The choice of the engine that gets a request. All classes are confined to the control thread. */
package org.bergamothoist.core.placement;
