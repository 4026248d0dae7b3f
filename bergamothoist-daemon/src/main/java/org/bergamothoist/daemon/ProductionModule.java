package org.bergamothoist.daemon;

import com.google.inject.AbstractModule;

/**
 * Binds the parts of a daemon that other modules provide: {@link RouterFactory}, {@link
 * PeerTransport.Factory}, {@link org.bergamothoist.daemon.adapter.LogRecordCodec}, {@link
 * org.bergamothoist.daemon.operator.SheetParser} and {@link
 * org.bergamothoist.daemon.operator.SheetPrinter}. A daemon does not start while one is unbound.
 */
public final class ProductionModule extends AbstractModule {}
