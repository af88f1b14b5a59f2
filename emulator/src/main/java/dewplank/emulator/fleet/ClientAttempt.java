package dewplank.emulator.fleet;

import java.util.concurrent.CompletableFuture;

/** A try that a client has sent. */
public final class ClientAttempt {
    /** How it ended. {@code status} 0: no answer came, or the client left; {@code whole}: the answer has its end. */
    public record Outcome(int status, String seal, String retryAfter, String body, boolean complete) {
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

    public String id() {
        return id;
    }

    /** Completed on the loop's thread. */
    public CompletableFuture<Outcome> ended() {
        return ended;
    }

    /** The client closes its connection and waits no longer. */
    public void abandon() {
        abandonAction.run();
    }
}
