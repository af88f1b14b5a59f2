package dewplank.emulator.virtualtime;

import dewplank.emulator.ClientAttempt;
import dewplank.emulator.Server;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A client's request at a sidecar, from its arrival until the client has its response and no attempt is in flight.
 * Confined to the scheduler thread.
 */
final class PendingRequest {
    private enum State {
        /** The client is waiting for the response. */
        OPEN,
        /** The response was sent or the client has disconnected; attempts may still be in flight. */
        FINISHED
    }

    final ClientAttempt client;
    private final Map<Integer, Attempt> attempts = new LinkedHashMap<>();
    private State state = State.OPEN;
    private int attemptCount;
    private int inFlightCount;

    PendingRequest(ClientAttempt client) {
        this.client = client;
    }

    boolean isOpen() {
        return state == State.OPEN;
    }

    /** Marks the request as finished: the response is sent, or the client has disconnected. */
    void finish() {
        if (state != State.OPEN) {
            throw new IllegalStateException("request " + client.id() + " is already finished");
        }
        state = State.FINISHED;
    }

    /** Number of attempts so far, including those that were never sent. */
    int attemptCount() {
        return attemptCount;
    }

    int inFlightCount() {
        return inFlightCount;
    }

    /** Whether the request is finished and has no attempts in flight. */
    boolean isDone() {
        return state == State.FINISHED && inFlightCount == 0;
    }

    Attempt addAttempt(Server server, double nowMs) {
        Attempt attempt = new Attempt(this, attemptCount, server, nowMs);
        attempts.put(attemptCount++, attempt);
        inFlightCount++;
        return attempt;
    }

    /** Counts an attempt that was not sent. */
    void skipAttempt() {
        attemptCount++;
    }

    void onAttemptEnded() {
        inFlightCount--;
    }

    /** The attempt with the given index; empty if it was never sent. */
    Optional<Attempt> attempt(int index) {
        return Optional.ofNullable(attempts.get(index));
    }

    /** The attempts that have not ended, in order. */
    List<Attempt> inFlight() {
        return attempts.values().stream().filter(attempt -> !attempt.hasEnded()).toList();
    }
}
