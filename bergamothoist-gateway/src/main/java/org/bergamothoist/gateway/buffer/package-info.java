/** Bounds on the memory that bytes of peers take up. */
package org.bergamothoist.gateway.buffer;
