package dewplank.controlplane;

import dewplank.message.MessageTransport;
import dewplank.net.Scheduler;
import dewplank.net.ServerEndpoint;
import dewplank.store.DiskExecutor;
import dewplank.store.StoreException;
import dewplank.store.StoreFiles;
import java.io.IOException;
import java.util.random.RandomGenerator;

/**
 * The external dependencies of a control plane: clock, random numbers, links, disk, platform, model servers and the
 * listener for operators. {@link SystemEnvironment} implements it for a real machine; simulations have another
 * implementation.
 */
interface ControlEnvironment {
    Scheduler scheduler();

    /** The wall-clock time in milliseconds, which may jump. */
    long wallClockMs();

    /** A random number generator with a new seed for each incarnation of a process. */
    RandomGenerator random();

    /** Creates a unique identity for an empty disk. */
    String newIdentity();

    MessageTransport transport();

    StoreFiles files();

    /**
     * Creates the data directory if it is missing and may be created.
     *
     * @throws StoreException if there is no directory that this process can write to
     */
    default void prepareDataDirectory() throws StoreException {}

    DiskExecutor disk();

    PlatformClient platform();

    ModelServerClient modelServers();

    /**
     * Binds the address of the operators' interface. Connections are accepted once {@link ServerEndpoint#accept} has
     * been called.
     *
     * @throws IOException if the process can't listen on the address
     */
    ServerEndpoint operators(OperatorApi api) throws IOException;

    /** Closes links and stops timers before the process exits. */
    void stop();
}
