/**
 * State machine replication over the platform's log: the records, the shared state that every
 * daemon derives by applying them in order, the tail that reads them and the appender that writes
 * them.
 */
package org.bergamothoist.core.log;
