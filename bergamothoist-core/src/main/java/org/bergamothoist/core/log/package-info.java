/**
 * The records in the platform's log, their fold to the shared state, the tail that reads them and
 * the appender.
 */
package org.bergamothoist.core.log;
