package dewplank.controlplane;

import dewplank.net.Scheduler;
import dewplank.settings.ResultCode;
import dewplank.store.DiskExecutor;
import dewplank.store.StoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Watches a disk that could not be used when the process started. The process meanwhile serves as a relay and has no
 * vote, as its disk may hold votes that it does not know. Once the disk can be used, the process is to begin anew with
 * it, exactly as after a restart. On the loop's thread only, but for the probe.
 */
final class DiskRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(DiskRecovery.class);
    /** A disk that hangs or is full is so for seconds; opening its files takes some synced writes at the most. */
    static final double PROBE_INTERVAL_MS = 1_000;

    private final Scheduler loop;
    private final DiskExecutor disk;
    private final DiskExecutor.Task probe;
    private final Runnable usable;

    /**
     * @param probe opens the process's files and closes them again; run by the disk's executor
     * @param usable told once, when the probe has succeeded
     */
    DiskRecovery(Scheduler loop, DiskExecutor disk, DiskExecutor.Task probe, Runnable usable) {
        this.loop = loop;
        this.disk = disk;
        this.probe = probe;
        this.usable = usable;
    }

    /** Begins to probe the disk. */
    void start(StoreException failure) {
        LOG.warn(
                "{}",
                ResultCode.DISK_NOT_USABLE.line(
                        "serving without a vote until the disk can be used cause=" + describe(failure)));
        probeLater();
    }

    private static String describe(StoreException failure) {
        return failure.getCause() == null
                ? failure.getMessage()
                : failure.getMessage() + ": " + failure.getCause().getMessage();
    }

    private void probeLater() {
        loop.after(
                PROBE_INTERVAL_MS,
                () -> disk.submit(probe, result -> {
                    if (result.isSuccess()) {
                        LOG.info("disk can be used, starting with it");
                        usable.run();
                    } else {
                        probeLater();
                    }
                }));
    }

    void close() {
        disk.close();
    }
}
