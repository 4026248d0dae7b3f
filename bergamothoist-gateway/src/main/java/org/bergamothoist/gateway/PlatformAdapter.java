package org.bergamothoist.gateway;

import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionStage;
import org.bergamothoist.core.feed.FeedSource;
import org.bergamothoist.core.feed.StoreEra;
import org.bergamothoist.core.lease.LeaseTopic;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.gateway.client.HttpCaller;
import org.bergamothoist.gateway.control.AuxiliaryHttpServer;
import org.bergamothoist.gateway.control.CacheEventClient;
import org.bergamothoist.gateway.control.EngineOrderClient;
import org.bergamothoist.gateway.state.QuarantinedContent;
import org.bergamothoist.gateway.state.RecordDecoder;
import org.bergamothoist.gateway.wire.WireDialect;

/** What a gateway needs of the platform that it runs on. */
public interface PlatformAdapter {

    /** Returns the reader and writer of headers. */
    WireDialect dialect();

    /** Returns the reader of the store's records. */
    RecordDecoder decoder();

    /**
     * Opens the store at an address.
     *
     * @param era to be told of every answer
     */
    Store store(String address, HttpCaller caller, StoreEra era);

    /** Returns the way to order engines. */
    EngineOrderClient engineOrders(HttpCaller caller);

    /** Returns the reader of events about KV cache. */
    CacheEventClient cacheEvents(HttpCaller caller);

    /** The platform's store. */
    interface Store extends FeedSource {

        /** Returns the log of the lease on orders. */
        LeaseTopic orderLease();

        /** Publishes where other daemons reach this one. */
        CompletionStage<Void> publish(String daemon, String peerAddress);

        /** Stores the record of a content that daemons refuse. */
        CompletionStage<Void> publishQuarantined(QuarantinedContent content);

        /** Deletes the record of a content that daemons refused. */
        CompletionStage<Void> deleteQuarantined(Fingerprint content);
    }

    /** What callers and the platform may ask a daemon besides requests. */
    interface Questions {

        /** Returns whether the daemon takes requests. */
        boolean isReady();

        /**
         * Returns addresses to connect to.
         *
         * @param dataCentre where the asking caller is
         */
        List<String> addresses(String dataCentre);
    }

    /** Returns the handlers of checks of readiness, by path. */
    Map<String, AuxiliaryHttpServer.Handler> readinessHandlers(Questions questions);

    /** Returns the handlers of questions for addresses, by path. */
    Map<String, AuxiliaryHttpServer.Handler> directoryHandlers(Questions questions);
}
