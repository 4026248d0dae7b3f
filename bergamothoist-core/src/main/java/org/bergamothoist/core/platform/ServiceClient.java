package org.bergamothoist.core.platform;

/** Talks to plain services. It never repeats a call on its own. */
@FunctionalInterface
public interface ServiceClient {

    /** Sends a call. The returned stream's {@code request} counts parts of the body. */
    TargetStream start(ServiceCall call, ServiceListener listener);
}
