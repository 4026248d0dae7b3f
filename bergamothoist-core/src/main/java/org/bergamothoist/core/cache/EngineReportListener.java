package org.bergamothoist.core.cache;

import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.Target;

/** Receives the reports of polled engines, on the control thread. */
@FunctionalInterface
public interface EngineReportListener {

    /** Handles a report of the target. */
    void onReport(Target target, EngineReport report);
}
