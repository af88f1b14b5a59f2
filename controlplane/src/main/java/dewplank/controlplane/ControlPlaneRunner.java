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
    private static final int FAILURE_EXIT_CODE = 1;

    private final Policy policy;
    private NodeSettings settings;
    private ControlPlane controlPlane;
    private boolean isDrained;

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
        controlPlane.reload(next);
    }

    /** Shuts down gracefully, on SIGTERM. Blocks until that is done, for 3 s at most. */
    public synchronized void drain() throws InterruptedException {
        if (!isDrained) {
            isDrained = true;
            controlPlane.drain();
        }
    }

    /** Called on the event loop of the control plane that has to be drained, so another thread drains it. */
    private void onDiskUsable() {
        new Thread(this::restartOrExit, "restart").start();
    }

    private void restartOrExit() {
        try {
            restart();
        } catch (IOException | StoreException | RuntimeException failure) {
            LOG.error("control plane can't start with its disk, process ends cause={}", failure.toString());
            System.exit(FAILURE_EXIT_CODE); // the platform restarts the process
        } catch (InterruptedException interrupted) {
            Thread.currentThread().interrupt();
        }
    }

    private synchronized void restart() throws IOException, StoreException, InterruptedException {
        if (isDrained) {
            return;
        }
        isDrained = true; // there is nothing to drain until the new control plane has been created
        controlPlane.drain();
        controlPlane = new ControlPlane(settings, policy, this::onDiskUsable);
        isDrained = false;
        controlPlane.start();
    }
}
