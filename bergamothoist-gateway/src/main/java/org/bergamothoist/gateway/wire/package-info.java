/** HTTP heads, end-to-end headers and body framing, independent of a platform's header names. */
package org.bergamothoist.gateway.wire;
