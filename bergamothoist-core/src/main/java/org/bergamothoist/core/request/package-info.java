/** Requests, their outcomes and the filter chain that they pass. */
package org.bergamothoist.core.request;
