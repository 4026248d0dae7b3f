/**
 * Admission under overload: decides whether a request is sent now, waits in the daemon until a
 * target has room, or is refused with a time after which its caller may retry. All classes are
 * confined to the control thread.
 */
package org.bergamothoist.core.admission;
