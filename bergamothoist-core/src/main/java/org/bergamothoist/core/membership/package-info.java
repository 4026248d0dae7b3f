/** Live daemons, targets and the addresses that callers are given. */
package org.bergamothoist.core.membership;
