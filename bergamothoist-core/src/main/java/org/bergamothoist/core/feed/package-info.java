/** Records of the platform's store that daemons follow, and relay to those it turns away. */
package org.bergamothoist.core.feed;
