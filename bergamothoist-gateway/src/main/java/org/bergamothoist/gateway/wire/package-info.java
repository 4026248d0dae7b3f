/** What the relay needs to know of requests and answers, whatever their headers are called. */
package org.bergamothoist.gateway.wire;
