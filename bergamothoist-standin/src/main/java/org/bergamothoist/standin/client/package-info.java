/**
 * A caller of the router that checks what it gets, and a workload that uses it, for tests and
 * demonstrations.
 */
package org.bergamothoist.standin.client;
