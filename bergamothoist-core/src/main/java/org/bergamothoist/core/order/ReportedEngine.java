package org.bergamothoist.core.order;

import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.Target;

/** An engine with its last report. */
public record ReportedEngine(Target target, EngineReport report) {}
