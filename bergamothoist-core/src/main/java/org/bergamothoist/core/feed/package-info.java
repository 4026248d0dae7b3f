/**
 * Readers and replicas of the record feeds in the platform's store. A daemon that cannot reach the
 * store gets the records from other daemons' replicas.
 */
package org.bergamothoist.core.feed;
