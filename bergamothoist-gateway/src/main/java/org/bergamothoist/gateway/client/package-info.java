/** Outgoing HTTP/1.1 connections: one request at a time, kept for the next one. */
package org.bergamothoist.gateway.client;
