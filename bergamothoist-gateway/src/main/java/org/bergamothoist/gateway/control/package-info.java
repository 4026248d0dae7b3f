/** What a daemon does besides relaying: reports, orders, its side interfaces and its logs. */
package org.bergamothoist.gateway.control;
