package dewplank.emulator.virtualtime;

import dewplank.emulator.ClientAttempt;
import dewplank.emulator.Server;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * A client's request at a sidecar, from its arrival until the client has its answer and no attempt is in flight. On the
 * world's thread.
 */
final class PendingRequest {
    private enum State {
        /** The client waits for its answer. */
        OPEN,
        /** The client has its answer or has left; attempts may still be in flight. */
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

    /** The client gets its answer, or has left. */
    void finish() {
        if (state != State.OPEN) {
            throw new IllegalStateException("request " + client.id() + " is finished twice");
        }
        state = State.FINISHED;
    }

    /** Attempts so far, those that were never sent included. */
    int attemptCount() {
        return attemptCount;
    }

    int inFlightCount() {
        return inFlightCount;
    }

    /** Whether nothing more can happen to the request. */
    boolean isDone() {
        return state == State.FINISHED && inFlightCount == 0;
    }

    Attempt addAttempt(Server server, double nowMs) {
        Attempt attempt = new Attempt(this, attemptCount, server, nowMs);
        attempts.put(attemptCount++, attempt);
        inFlightCount++;
        return attempt;
    }

    /** Counts an attempt of which nothing was sent. */
    void skipAttempt() {
        attemptCount++;
    }

    void attemptEnded() {
        inFlightCount--;
    }

    /** The attempt of that index; empty for one that was never sent. */
    Optional<Attempt> attempt(int index) {
        return Optional.ofNullable(attempts.get(index));
    }

    /** The attempts that have not ended, in their order. */
    List<Attempt> inFlight() {
        return attempts.values().stream().filter(attempt -> !attempt.hasEnded()).toList();
    }
}
