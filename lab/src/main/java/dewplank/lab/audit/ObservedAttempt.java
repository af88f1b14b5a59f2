package dewplank.lab.audit;

import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.scenario.RequestClassSpec;
import java.util.ArrayList;
import java.util.List;

/** An attempt of a client at its sidecar, reconstructed from the events that the client and the servers recorded. */
final class ObservedAttempt {
    private static final int NO_SERVER = -1;

    private final RecordedEvent sent;
    private final RequestClassSpec requestClass;
    private final List<RecordedEvent> timeline = new ArrayList<>(8);
    private double firstReceivedAtMs = Double.NaN;
    private int firstServer = NO_SERVER;
    private int unrejectedReceptions;
    private boolean wasReceived;
    private boolean hadEffect;
    private boolean hasEnded;
    private boolean hasCompleteResponse;
    private boolean wasRefused;

    ObservedAttempt(RecordedEvent sent, RequestClassSpec requestClass) {
        this.sent = sent;
        this.requestClass = requestClass;
        timeline.add(sent);
    }

    /** Appends an event to the timeline without changing the state; see {@link #apply}. */
    void append(RecordedEvent event) {
        timeline.add(event);
    }

    /** Updates the state with an event, after the checks have observed it. */
    void apply(RecordedEvent event) {
        switch (event.type()) {
            case RECEIVED -> received(event);
            case REJECTED -> rejected();
            case EFFECT -> hadEffect = true;
            case SERVED, FAILED -> end(true);
            case REFUSED -> {
                wasRefused |= !hasEnded;
                end(true);
            }
            case UNREACHABLE, ABANDONED -> end(false);
            default -> {}
        }
    }

    private void received(RecordedEvent event) {
        wasReceived = true;
        unrejectedReceptions++;
        if (unrejectedReceptions == 1) {
            firstReceivedAtMs = event.atMs();
            firstServer = event.server();
        }
    }

    private void rejected() {
        unrejectedReceptions--;
        if (unrejectedReceptions == 0) {
            firstReceivedAtMs = Double.NaN;
            firstServer = NO_SERVER;
        }
    }

    private void end(boolean withCompleteResponse) {
        hasEnded = true;
        hasCompleteResponse |= withCompleteResponse;
    }

    /** The first event of the attempt; its value is the client's deadline in milliseconds. */
    RecordedEvent sent() {
        return sent;
    }

    double deadlineMs() {
        return sent.value();
    }

    RequestClassSpec requestClass() {
        return requestClass;
    }

    List<RecordedEvent> timeline() {
        return timeline;
    }

    /** Whether the client has a response, lost its connection or stopped waiting. */
    boolean hasEnded() {
        return hasEnded;
    }

    boolean hasCompleteResponse() {
        return hasCompleteResponse;
    }

    /** Whether the client's first response was a rejection, which states that the request never ran. */
    boolean wasRefused() {
        return wasRefused;
    }

    /** Whether any server received the attempt, including servers that rejected it. */
    boolean wasReceived() {
        return wasReceived;
    }

    /** Whether a server received the attempt and did not reject it. */
    boolean mayHaveRun() {
        return unrejectedReceptions > 0;
    }

    /** The first server that received the attempt and did not reject it; valid only if it may have run. */
    int firstServer() {
        return firstServer;
    }

    /** When {@link #firstServer} received the attempt, in milliseconds; valid only if it may have run. */
    double firstReceivedAtMs() {
        return firstReceivedAtMs;
    }

    boolean hadEffect() {
        return hadEffect;
    }

    /** Whether a rejection after execution is harmless, because the client can retry without a second effect. */
    boolean mayBeRefusedAfterRun() {
        return requestClass.idempotency() == Idempotency.SAFE
                || requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }
}
