package org.bergamothoist.core.order;

import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.Target;

/** An engine and its last report. */
public record EngineView(Target target, EngineReport report) {}
