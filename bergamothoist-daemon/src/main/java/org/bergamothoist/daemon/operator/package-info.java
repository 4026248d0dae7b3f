/** The operators' HTTP interface: sheets, status, timeline, quarantine. */
package org.bergamothoist.daemon.operator;
