package org.bergamothoist.measure.check.mutation;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.node.NodeSettings;
import org.bergamothoist.core.platform.EngineCall;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.EngineListener;
import org.bergamothoist.core.platform.ServiceCall;
import org.bergamothoist.core.platform.ServiceClient;
import org.bergamothoist.core.platform.ServiceListener;
import org.bergamothoist.core.platform.Target;
import org.bergamothoist.core.platform.TargetFailure;
import org.bergamothoist.core.platform.TargetStream;
import org.bergamothoist.measure.check.Interposition;

/** Reports a connection that broke or was refused work as one that was never made. */
final class BrokenAsNotSent implements Interposition {

    private static TargetFailure notSent(TargetFailure failure) {
        return new TargetFailure(TargetFailure.Kind.NOT_SENT, failure.message());
    }

    @Override
    public EngineClient engines(NodeSettings node, EngineClient engines) {
        return new ForwardingEngineClient(engines) {
            @Override
            public TargetStream start(EngineCall call, EngineListener listener) {
                return super.start(
                        call,
                        new Listener(listener) {
                            @Override
                            public void onFailed(TargetFailure failure) {
                                super.onFailed(notSent(failure));
                            }
                        });
            }
        };
    }

    @Override
    public ServiceClient services(NodeSettings node, ServiceClient services) {
        return new ServiceClient() {
            @Override
            public TargetStream start(ServiceCall call, ServiceListener listener) {
                return services.start(call, new Listener(listener));
            }

            @Override
            public CompletionStage<Boolean> isListening(Target target) {
                return services.isListening(target);
            }
        };
    }

    private record Listener(ServiceListener next) implements ServiceListener {

        @Override
        public void onSending() {
            next.onSending();
        }

        @Override
        public void onHead(int status, Map<String, List<String>> headers) {
            next.onHead(status, headers);
        }

        @Override
        public void onBody(ByteBuffer part) {
            next.onBody(part);
        }

        @Override
        public void onCompleted() {
            next.onCompleted();
        }

        @Override
        public void onFailed(TargetFailure failure) {
            next.onFailed(notSent(failure));
        }
    }
}
