package org.bergamothoist.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.bergamothoist.core.identity.DaemonId;
import org.bergamothoist.core.identity.RequestId;
import org.bergamothoist.core.log.ConfigurationState;
import org.bergamothoist.core.membership.DaemonAddresses;
import org.bergamothoist.core.node.NodeStatus;
import org.bergamothoist.core.node.Router;
import org.bergamothoist.core.peer.PeerMessage.DaemonStatus;
import org.bergamothoist.core.quarantine.Fingerprint;
import org.bergamothoist.core.request.CompletionListener;
import org.bergamothoist.core.request.CompletionSubmission;
import org.bergamothoist.core.request.ResumeSubmission;
import org.bergamothoist.core.request.ServiceResponseListener;
import org.bergamothoist.core.request.ServiceSubmission;
import org.bergamothoist.core.request.StreamHandle;
import org.bergamothoist.core.sheet.OrganisationEntry;
import org.bergamothoist.core.sheet.OrganisationState;
import org.bergamothoist.core.sheet.SheetStatus;
import org.bergamothoist.core.sheet.SheetVerdict;
import org.bergamothoist.core.timeline.Event;
import org.bergamothoist.core.timeline.EventKind;
import org.bergamothoist.core.timeline.Timestamp;

/** A router that hands each request to the test. */
final class FakeRouter implements Router {

    static final DaemonId DAEMON = new DaemonId("fake", 1);

    final BlockingQueue<Running> requests = new LinkedBlockingQueue<>();
    final List<RequestId> cancelled = new ArrayList<>();
    final List<String> released = new ArrayList<>();
    final CompletableFuture<Void> started = new CompletableFuture<>();
    final CompletableFuture<Void> stopped = new CompletableFuture<>();

    /** One accepted request, controlled by the test. */
    static final class Running implements StreamHandle {

        final CompletionSubmission submission;
        final ResumeSubmission resumption;
        final ServiceSubmission call;
        final CompletionListener listener;
        final ServiceResponseListener answer;
        private int demand;
        private boolean cancelled;

        Running(
                CompletionSubmission submission,
                ResumeSubmission resumption,
                ServiceSubmission call,
                CompletionListener listener,
                ServiceResponseListener answer) {
            this.submission = submission;
            this.resumption = resumption;
            this.call = call;
            this.listener = listener;
            this.answer = answer;
        }

        @Override
        public synchronized void request(int pieces) {
            demand += pieces;
            notifyAll();
        }

        @Override
        public synchronized void cancel() {
            cancelled = true;
        }

        synchronized boolean isCancelled() {
            return cancelled;
        }

        /** Waits for demand and takes one unit. */
        void await() throws InterruptedException {
            if (!takeWithin(Duration.ofSeconds(20))) {
                throw new AssertionError("nothing was requested");
            }
        }

        /** Takes one unit of demand; returns false if none comes within the time. */
        synchronized boolean takeWithin(Duration time) throws InterruptedException {
            long end = System.nanoTime() + time.toNanos();
            while (demand == 0) {
                long left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
                if (left <= 0) {
                    return false;
                }
                wait(left);
            }
            demand--;
            return true;
        }
    }

    Running next() throws InterruptedException {
        Running running = requests.poll(20, TimeUnit.SECONDS);
        if (running == null) {
            throw new AssertionError("no request arrived");
        }
        return running;
    }

    @Override
    public StreamHandle complete(CompletionSubmission submission, CompletionListener listener) {
        return add(new Running(submission, null, null, listener, null));
    }

    @Override
    public StreamHandle resume(ResumeSubmission submission, CompletionListener listener) {
        return add(new Running(submission.original(), submission, null, listener, null));
    }

    @Override
    public StreamHandle callService(
            ServiceSubmission submission, ServiceResponseListener listener) {
        return add(new Running(null, null, submission, null, listener));
    }

    private Running add(Running running) {
        requests.add(running);
        return running;
    }

    @Override
    public CompletionStage<Boolean> cancel(String callerKey, RequestId requestId) {
        cancelled.add(requestId);
        return CompletableFuture.completedStage("known".equals(callerKey));
    }

    @Override
    public CompletionStage<DaemonAddresses> addresses(
            Optional<String> dataCentre, Optional<String> affinity) {
        return CompletableFuture.completedStage(
                new DaemonAddresses(
                        List.of(
                                new DaemonAddresses.Address(
                                        "127.0.0.1:1", dataCentre.orElse("any"))),
                        Duration.ofSeconds(5)));
    }

    @Override
    public CompletionStage<SheetStatus> submitSheet(
            String office, String operator, List<OrganisationEntry> entries) {
        return CompletableFuture.completedStage(
                status(office, operator, SheetStatus.Reach.RECORDED));
    }

    @Override
    public CompletionStage<Optional<SheetStatus>> sheetStatus(String digest) {
        return CompletableFuture.completedStage(
                "d1".equals(digest)
                        ? Optional.of(status("biel", "anna", SheetStatus.Reach.IN_FORCE))
                        : Optional.empty());
    }

    private static SheetStatus status(String office, String operator, SheetStatus.Reach reach) {
        SheetVerdict verdict =
                new SheetVerdict(7, 7, "d1", office, operator, true, Instant.EPOCH, List.of());
        return new SheetStatus(verdict, reach, List.of());
    }

    @Override
    public CompletionStage<List<OrganisationState>> organisations() {
        return CompletableFuture.completedStage(List.of());
    }

    @Override
    public CompletionStage<NodeStatus> status() {
        return CompletableFuture.completedStage(
                new NodeStatus(
                        DAEMON,
                        "biel-a",
                        DaemonStatus.SERVING,
                        ConfigurationState.FRESH,
                        7,
                        Duration.ofMillis(250),
                        0,
                        0,
                        List.of(),
                        List.of(),
                        Map.of()));
    }

    @Override
    public List<Event> timeline(Timestamp after) {
        return List.of(
                new Event(
                        new Timestamp(after.milliseconds() + 1, 2),
                        DAEMON,
                        EventKind.DAEMON_READY,
                        "fake",
                        ""));
    }

    @Override
    public CompletionStage<Void> releaseQuarantine(Fingerprint fingerprint, String operator) {
        released.add(operator + " " + fingerprint);
        return CompletableFuture.completedStage(null);
    }

    @Override
    public CompletionStage<Void> start() {
        return started;
    }

    @Override
    public CompletionStage<Void> stop() {
        return stopped;
    }
}
