/** What a daemon believes, and who keeps it up to date. */
package org.bergamothoist.gateway.state;
