/** A daemon's view of the cluster and the updates of it from the store's records. */
package org.bergamothoist.gateway.state;
