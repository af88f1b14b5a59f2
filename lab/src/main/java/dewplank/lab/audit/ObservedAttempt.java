package dewplank.lab.audit;

import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.scenario.RequestClassSpec;
import java.util.ArrayList;
import java.util.List;

/** A client's attempt at its sidecar, as the client and the servers recorded it. */
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
    private boolean isOver;
    private boolean hasCompleteAnswer;
    private boolean wasRefused;

    ObservedAttempt(RecordedEvent sent, RequestClassSpec requestClass) {
        this.sent = sent;
        this.requestClass = requestClass;
        timeline.add(sent);
    }

    /** Appends an event to the timeline; its effect on the state is {@link #apply}'s. */
    void append(RecordedEvent event) {
        timeline.add(event);
    }

    /** Takes an event into the state, after the checks have seen it. */
    void apply(RecordedEvent event) {
        switch (event.type()) {
            case RECEIVED -> received(event);
            case REJECTED -> rejected();
            case EFFECT -> hadEffect = true;
            case SERVED, FAILED -> over(true);
            case REFUSED -> {
                wasRefused |= !isOver;
                over(true);
            }
            case UNREACHABLE, ABANDONED -> over(false);
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

    private void over(boolean withCompleteAnswer) {
        isOver = true;
        hasCompleteAnswer |= withCompleteAnswer;
    }

    /** The event with which it began; its value is the client's deadline in milliseconds. */
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

    /** Whether the client has an answer, lost its connection or stopped waiting. */
    boolean isOver() {
        return isOver;
    }

    boolean hasCompleteAnswer() {
        return hasCompleteAnswer;
    }

    /** Whether the first that the client heard was a refusal, which says that the request never ran. */
    boolean wasRefused() {
        return wasRefused;
    }

    /** Whether any server received it, rejections included. */
    boolean wasReceived() {
        return wasReceived;
    }

    /** Whether a server received it and did not reject it. */
    boolean mayHaveRun() {
        return unrejectedReceptions > 0;
    }

    /** The server that received it first and did not reject it; only where it may have run. */
    int firstServer() {
        return firstServer;
    }

    /** When that server received it, in milliseconds; only where it may have run. */
    double firstReceivedAtMs() {
        return firstReceivedAtMs;
    }

    boolean hadEffect() {
        return hadEffect;
    }

    /** Whether a refusal does no harm though it ran: its client may repeat it without a second effect. */
    boolean isRefusableAfterRun() {
        return requestClass.idempotency() == Idempotency.SAFE
                || requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.deduplicationScope() == DeduplicationScope.ALL;
    }
}
