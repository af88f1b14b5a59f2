package dewplank.emulator.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Waits for what the stand-ins complete on their loop. */
public final class Futures {
    private static final long TIMEOUT_S = 30;

    private Futures() {}

    /**
     * Waits for a result; not on the loop's thread.
     *
     * @throws IllegalStateException when there is none within 30 s, when it failed, or when the thread is interrupted
     */
    public static <T> T await(CompletableFuture<T> future) {
        try {
            return future.get(TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("no end came", e);
        }
    }
}
