package org.bergamothoist.standin.client;

import java.util.concurrent.Flow;

/** Parses server-sent events from the lines of an answer. */
final class EventReader implements Flow.Subscriber<String> {

    private final Listener listener;
    private String event = "";
    private String id = "";
    private final StringBuilder data = new StringBuilder();

    /** Receives whole events in order. */
    @FunctionalInterface
    interface Listener {
        void onEvent(String event, String id, String data);
    }

    EventReader(Listener listener) {
        this.listener = listener;
    }

    @Override
    public void onSubscribe(Flow.Subscription subscription) {
        subscription.request(Long.MAX_VALUE);
    }

    @Override
    public void onNext(String line) {
        if (line.isEmpty()) {
            dispatch();
        } else if (line.startsWith("event:")) {
            event = value(line);
        } else if (line.startsWith("id:")) {
            id = value(line);
        } else if (line.startsWith("data:")) {
            data.append(value(line));
        }
    }

    @Override
    public void onError(Throwable error) {
        // The failed exchange reports the same error.
    }

    @Override
    public void onComplete() {
        // The finished exchange reports the end.
    }

    /** An event without its closing empty line is dropped, as the standard says. */
    private void dispatch() {
        if (data.length() > 0) {
            listener.onEvent(event, id, data.toString());
        }
        event = "";
        id = "";
        data.setLength(0);
    }

    private static String value(String line) {
        String value = line.substring(line.indexOf(':') + 1);
        return value.startsWith(" ") ? value.substring(1) : value;
    }
}
