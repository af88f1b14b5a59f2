package dewplank.controlplane;

import dewplank.net.Scheduler;
import dewplank.settings.ResultCode;
import dewplank.store.DiskExecutor;
import dewplank.store.StoreException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Probes a disk that could not be used when the process started. Until the disk can be used, the process serves as a
 * control plane without a disk and does not vote, because the disk may contain votes that the process can't read. Then
 * the control plane is started again with the disk, exactly as after a restart of the process. Must be used on the
 * loop's thread only; the disk executor runs the probe.
 */
final class DiskRecovery {
    private static final Logger LOG = LoggerFactory.getLogger(DiskRecovery.class);
    /**
     * Interval between two probes. A disk that hangs or is full remains so for seconds, and a probe takes a few synced
     * writes at most.
     */
    static final double PROBE_INTERVAL_MS = 1_000;

    private final Scheduler loop;
    private final DiskExecutor disk;
    private final DiskExecutor.Task probe;
    private final Runnable onUsable;

    /**
     * @param probe opens the process's files and closes them again; run by the disk executor
     * @param onUsable called once, when the probe has succeeded
     */
    DiskRecovery(Scheduler loop, DiskExecutor disk, DiskExecutor.Task probe, Runnable onUsable) {
        this.loop = loop;
        this.disk = disk;
        this.probe = probe;
        this.onUsable = onUsable;
    }

    /** Logs the failure and starts to probe the disk. */
    void start(StoreException failure) {
        LOG.warn(
                "{}",
                ResultCode.DISK_NOT_USABLE.line(
                        "serving without a vote until the disk can be used cause=" + describe(failure)));
        scheduleProbe();
    }

    private static String describe(StoreException failure) {
        return failure.getCause() == null
                ? failure.getMessage()
                : failure.getMessage() + ": " + failure.getCause().getMessage();
    }

    private void scheduleProbe() {
        loop.after(
                PROBE_INTERVAL_MS,
                () -> disk.submit(probe, result -> {
                    if (result.isSuccess()) {
                        LOG.info("disk can be used, starting with it");
                        onUsable.run();
                    } else {
                        scheduleProbe();
                    }
                }));
    }

    void close() {
        disk.close();
    }
}
