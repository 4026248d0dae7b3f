package org.bergamothoist.core.cache;

import org.bergamothoist.core.platform.EngineReport;
import org.bergamothoist.core.platform.Target;

/** Receives the reports of polled targets, on the control thread. */
@FunctionalInterface
public interface EngineReportListener {

    /** Handles a report. */
    void onReport(Target target, EngineReport report);
}
