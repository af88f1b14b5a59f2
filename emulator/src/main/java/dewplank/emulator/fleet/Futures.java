package dewplank.emulator.fleet;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;

/** Waits for futures that the stand-ins complete on their event loop. */
public final class Futures {
    private static final long TIMEOUT_S = 30;

    private Futures() {}

    /**
     * Waits for a result; must not be called on the loop's thread.
     *
     * @throws IllegalStateException if there is no result within 30 s, the future fails, or the thread is interrupted
     */
    public static <T> T await(CompletableFuture<T> future) {
        try {
            return future.get(TIMEOUT_S, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the operation failed or timed out", e);
        }
    }
}
