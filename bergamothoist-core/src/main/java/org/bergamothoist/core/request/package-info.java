/** Requests, their outcomes and the filter chain that processes them. */
package org.bergamothoist.core.request;
