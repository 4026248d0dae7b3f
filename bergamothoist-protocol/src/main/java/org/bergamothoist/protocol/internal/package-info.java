/** Conversions between protobuf messages and the types of the core; not for other modules. */
package org.bergamothoist.protocol.internal;
