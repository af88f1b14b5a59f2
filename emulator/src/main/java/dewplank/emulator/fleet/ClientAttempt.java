package dewplank.emulator.fleet;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

/** An attempt that a client has sent. */
public final class ClientAttempt {
    /**
     * How an attempt ended.
     *
     * @param status 0 where no head of a response came
     * @param seal names the server's response; empty where the response has none
     * @param retryAfter the header's value; empty where the response has none
     * @param complete whether the response's end came
     */
    public record Outcome(
            int status, Optional<String> seal, Optional<String> retryAfter, String body, boolean complete) {
        /** Whether a complete response with status 200 came. */
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

    /** The id that the request carries. */
    public String id() {
        return id;
    }

    /** The end of the attempt; completed on the loop's thread. */
    public CompletableFuture<Outcome> ended() {
        return ended;
    }

    /** Closes the client's connection; from any thread. Nothing once the attempt has ended. */
    public void abandon() {
        abandonAction.run();
    }
}
