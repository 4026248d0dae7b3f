package org.bergamothoist.core.platform;

/** Client of plain services. Implementations must not retry calls. */
public interface ServiceClient extends TargetProbe {

    /** Sends a call. On the returned stream, {@code request} counts parts of the body. */
    TargetStream start(ServiceCall call, ServiceListener listener);
}
