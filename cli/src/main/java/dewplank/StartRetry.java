package dewplank;

import dewplank.settings.InvalidInputException;
import dewplank.settings.ResultCode;
import dewplank.store.StoreException;
import java.io.IOException;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Starts a program of the fleet, and tries again while a state of the machine that may pass prevents it: a settings
 * file that is being written, an address that is in use, a directory that is not there yet. A supervisor that restarts
 * a process which exits at once would try no better. Settings that are complete but wrong end the start.
 */
final class StartRetry {
    private static final Logger LOG = LoggerFactory.getLogger(StartRetry.class);
    private static final long RETRY_INTERVAL_MS = 200;
    private static final long LOG_INTERVAL_MS = 10_000;
    private static final Set<ResultCode> PASSING = Set.of(
            ResultCode.FILE_UNREADABLE,
            ResultCode.NOT_JSON,
            ResultCode.DISK_NOT_USABLE,
            ResultCode.ADDRESS_NOT_USABLE,
            ResultCode.START_FAILED);

    private StartRetry() {}

    /** Reads the settings and creates a program with them. */
    interface Start<T> {
        T run() throws IOException, StoreException;
    }

    /**
     * Runs the start until it succeeds. Logs why it fails, at first and then every {@link #LOG_INTERVAL_MS}.
     *
     * @throws InvalidInputException if the start fails for a reason that does not pass by itself
     */
    static <T> T run(Start<T> start) throws InterruptedException {
        long logAtNanos = System.nanoTime();
        while (true) {
            try {
                return attempt(start);
            } catch (InvalidInputException e) {
                if (e.code() == null || !PASSING.contains(e.code())) {
                    throw e;
                }
                long now = System.nanoTime();
                if (now - logAtNanos >= 0) {
                    LOG.warn("start is retried cause=\"{}\"", e.getMessage());
                    logAtNanos = now + LOG_INTERVAL_MS * 1_000_000;
                }
            }
            Thread.sleep(RETRY_INTERVAL_MS);
        }
    }

    private static <T> T attempt(Start<T> start) {
        try {
            return start.run();
        } catch (IOException | StoreException e) {
            throw StartFailures.of(e);
        }
    }
}
