package dewplank.controlplane;

import dewplank.routing.Policy;
import dewplank.settings.NodeSettings;
import dewplank.store.StoreException;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a control plane until it is drained. If the disk can't be used at the start, the control plane runs without its
 * disk and does not vote. Once the disk can be used, a new control plane replaces it in the same process.
 *
 * <p>The methods may be called from any thread; those that drain block until the control plane is drained.
 */
public final class ControlPlaneRunner {
    private static final Logger LOG = LoggerFactory.getLogger(ControlPlaneRunner.class);
    private static final long RETRY_INTERVAL_MS = 200;
    /** Number of failed attempts between two lines in the log. */
    private static final int ATTEMPTS_PER_LOG_LINE = 50;

    private final Policy policy;
    private NodeSettings settings;
    private ControlPlane controlPlane;
    private boolean isDrained;
    private boolean isTerminated;

    /**
     * Opens the disk and the sockets of this machine.
     *
     * @throws IOException if the process can't listen on an address
     * @throws StoreException if the data directory is not a directory that this process can write to
     */
    public ControlPlaneRunner(NodeSettings settings) throws IOException, StoreException {
        this(settings, Policy.ALL_ENABLED);
    }

    /**
     * Opens the disk and the sockets of this machine, for an experiment with some mechanisms disabled.
     *
     * @param policy the mechanisms that are enabled
     * @throws IOException if the process can't listen on an address
     * @throws StoreException if the data directory is not a directory that this process can write to
     */
    public ControlPlaneRunner(NodeSettings settings, Policy policy) throws IOException, StoreException {
        this.settings = settings;
        this.policy = policy;
        controlPlane = new ControlPlane(settings, policy, this::onDiskUsable);
    }

    /** Starts to serve. Returns immediately. */
    public synchronized void start() {
        controlPlane.start();
    }

    /** Applies a changed settings file. */
    public synchronized void reload(NodeSettings next) {
        settings = next;
        if (!isDrained) {
            controlPlane.reload(next);
        }
    }

    /** Shuts down gracefully, on SIGTERM. Blocks until that is done, for 3 s at most. */
    public synchronized void drain() throws InterruptedException {
        isTerminated = true;
        if (!isDrained) {
            isDrained = true;
            controlPlane.drain();
        }
    }

    /** Called on the event loop of the control plane that has to be drained, so another thread drains it. */
    private void onDiskUsable() {
        Thread thread = new Thread(this::restart, "restart");
        thread.setDaemon(true);
        thread.start();
    }

    /** Replaces the control plane; tries again while an address or the disk can't be used after all. */
    private void restart() {
        try {
            drainForRestart();
            for (int attempt = 0; !tryStart(attempt); attempt++) {
                Thread.sleep(RETRY_INTERVAL_MS);
            }
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void drainForRestart() throws InterruptedException {
        if (!isTerminated) {
            isDrained = true; // there is nothing to drain until the new control plane has been created
            controlPlane.drain();
        }
    }

    /** Returns whether no further attempt is needed. */
    private synchronized boolean tryStart(int attempt) {
        if (isTerminated) {
            return true;
        }
        try {
            controlPlane = new ControlPlane(settings, policy, this::onDiskUsable);
            isDrained = false;
            controlPlane.start();
            return true;
        } catch (IOException | StoreException | RuntimeException failure) {
            if (attempt % ATTEMPTS_PER_LOG_LINE == 0) {
                LOG.warn("start with the disk is retried cause={}", failure.toString());
            }
            return false;
        }
    }
}
