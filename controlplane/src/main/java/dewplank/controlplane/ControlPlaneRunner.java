package dewplank.controlplane;

import dewplank.routing.Policy;
import dewplank.settings.NodeSettings;
import dewplank.store.StoreException;
import java.io.IOException;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Runs a control plane until it is drained. Where the disk could not be used at the start, the control plane serves
 * without a vote, and gives way to another one in the same process once the disk can be used.
 *
 * <p>Any thread may call the methods; those that drain block meanwhile.
 */
public final class ControlPlaneRunner {
    private static final Logger LOG = LoggerFactory.getLogger(ControlPlaneRunner.class);
    private static final int FAILURE_EXIT_CODE = 1;

    private final Policy policy;
    private NodeSettings settings;
    private ControlPlane plane;
    private boolean isEnded;

    /**
     * Opens the disk and the sockets of this machine.
     *
     * @throws IOException where an address can't be listened on
     * @throws StoreException where the data directory is none that this process may use
     */
    public ControlPlaneRunner(NodeSettings settings) throws IOException, StoreException {
        this(settings, Policy.ALL_ENABLED);
    }

    /**
     * The same for a trial.
     *
     * @param policy the mechanisms that are enabled
     * @throws IOException where an address can't be listened on
     * @throws StoreException where the data directory is none that this process may use
     */
    public ControlPlaneRunner(NodeSettings settings, Policy policy) throws IOException, StoreException {
        this.settings = settings;
        this.policy = policy;
        plane = new ControlPlane(settings, policy, this::onDiskUsable);
    }

    /** Begins to serve. Returns at once. */
    public synchronized void start() {
        plane.start();
    }

    /** The settings file has changed. */
    public synchronized void reload(NodeSettings next) {
        settings = next;
        plane.reload(next);
    }

    /** Shuts down gracefully, on SIGTERM. Blocks until that is done, 3 s at the most. */
    public synchronized void drain() throws InterruptedException {
        if (!isEnded) {
            isEnded = true;
            plane.drain();
        }
    }

    /** Called on the loop of the control plane that is to end, so the work is done by another thread. */
    private void onDiskUsable() {
        new Thread(this::restartOrExit, "restart").start();
    }

    private void restartOrExit() {
        try {
            restart();
        } catch (IOException | StoreException | RuntimeException failure) {
            LOG.error("control plane can't start with its disk, process ends cause={}", failure.toString());
            System.exit(FAILURE_EXIT_CODE); // the platform starts the process again
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void restart() throws IOException, StoreException, InterruptedException {
        if (isEnded) {
            return;
        }
        isEnded = true; // until another one has been created there is nothing to drain
        plane.drain();
        plane = new ControlPlane(settings, policy, this::onDiskUsable);
        isEnded = false;
        plane.start();
    }
}
