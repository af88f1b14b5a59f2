package dewplank.emulator.fleet;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** An attempt that a client sends. */
public final class ClientAttempt {
    /**
     * The outcome of an attempt.
     *
     * @param status 0 if no response head was received
     * @param seal identifies the server's response; empty if the response has none
     * @param retryAfter the value of the header; empty if the response has none
     * @param complete whether the end of the response was received
     */
    public record Outcome(
            int status, Optional<String> seal, Optional<String> retryAfter, String body, boolean complete) {
        /** Whether a complete response with status 200 was received. */
        public boolean served() {
            return status == 200 && complete;
        }
    }

    private final String id;
    private final CompletableFuture<Outcome> ended = new CompletableFuture<>();
    private final Runnable abandonAction;

    ClientAttempt(String id, Runnable abandonAction) {
        this.id = id;
        this.abandonAction = abandonAction;
    }

    /** The id in the request's header. */
    public String id() {
        return id;
    }

    /** Completes with the outcome of the attempt, on the loop's thread. */
    public CompletableFuture<Outcome> ended() {
        return ended;
    }

    /** Closes the client's connection; does nothing if the attempt has ended. May be called from any thread. */
    public void abandon() {
        abandonAction.run();
    }
}
