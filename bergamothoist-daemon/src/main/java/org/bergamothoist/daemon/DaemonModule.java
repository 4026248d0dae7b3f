package org.bergamothoist.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.inject.AbstractModule;
import com.google.inject.Provides;
import com.google.inject.Singleton;
import com.google.inject.multibindings.OptionalBinder;
import java.time.InstantSource;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.node.Router;
import org.bergamothoist.core.platform.CacheStore;
import org.bergamothoist.core.platform.EngineClient;
import org.bergamothoist.core.platform.LogService;
import org.bergamothoist.core.platform.ServiceClient;
import org.bergamothoist.core.platform.VirtualMachineList;
import org.bergamothoist.core.platform.WeightStore;
import org.bergamothoist.core.time.MonotonicClock;
import org.bergamothoist.core.time.Scheduler;
import org.bergamothoist.daemon.adapter.HttpCacheStore;
import org.bergamothoist.daemon.adapter.HttpEngineClient;
import org.bergamothoist.daemon.adapter.HttpLogService;
import org.bergamothoist.daemon.adapter.HttpServiceClient;
import org.bergamothoist.daemon.adapter.HttpVirtualMachineList;
import org.bergamothoist.daemon.adapter.HttpWeightStore;
import org.bergamothoist.daemon.adapter.OutboundHttp;
import org.bergamothoist.daemon.runtime.ControlThread;
import org.bergamothoist.daemon.runtime.RouterGate;
import org.bergamothoist.daemon.settings.DaemonSettings;
import org.bergamothoist.protocol.LogRecordCodec;

/** Binds what a daemon has of its own; the rest comes from {@link DaemonInstance}'s parts. */
final class DaemonModule extends AbstractModule {

    private final DaemonSettings settings;
    private final MetricRegistry metrics;

    DaemonModule(DaemonSettings settings, MetricRegistry metrics) {
        this.settings = settings;
        this.metrics = metrics;
    }

    @Override
    protected void configure() {
        bind(DaemonSettings.class).toInstance(settings);
        bind(MetricRegistry.class).toInstance(metrics);
        OptionalBinder.newOptionalBinder(binder(), InstantSource.class)
                .setDefault()
                .toInstance(new MonotonicClock());
        bind(Router.class).to(RouterGate.class);
        bind(RouterGate.class).in(Singleton.class);
        bind(Scheduler.class).to(ControlThread.class);
        requireBinding(RouterFactory.class);
        requireBinding(PeerTransport.Factory.class);
    }

    @Provides
    @Singleton
    DaemonId daemonId(InstantSource clock) {
        return new DaemonId(settings.daemon(), clock.millis());
    }

    @Provides
    @Singleton
    ControlThread controlThread() {
        return new ControlThread(settings.daemon(), metrics);
    }

    @Provides
    @Singleton
    OutboundHttp outboundHttp() {
        return new OutboundHttp(settings.timings().connect(), settings.timings().control());
    }

    @Provides
    @Singleton
    LogService logService(OutboundHttp http) {
        LogRecordCodec codec = new LogRecordCodec();
        return new HttpLogService(http, settings.platform().log(), codec::encode, codec::decode);
    }

    @Provides
    @Singleton
    VirtualMachineList virtualMachineList(OutboundHttp http) {
        return new HttpVirtualMachineList(http, settings.platform().virtualMachineList());
    }

    @Provides
    @Singleton
    EngineClient engineClient(OutboundHttp http) {
        return new HttpEngineClient(http);
    }

    @Provides
    @Singleton
    ServiceClient serviceClient(OutboundHttp http) {
        return new HttpServiceClient(http);
    }

    @Provides
    @Singleton
    WeightStore weightStore(OutboundHttp http) {
        return new HttpWeightStore(http, settings.platform().weightStore());
    }

    @Provides
    @Singleton
    CacheStore cacheStore(OutboundHttp http) {
        return new HttpCacheStore(http, settings.platform().cacheStore());
    }
}
