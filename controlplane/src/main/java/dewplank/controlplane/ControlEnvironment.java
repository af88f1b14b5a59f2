package dewplank.controlplane;

import dewplank.message.MessageTransport;
import dewplank.net.Scheduler;
import dewplank.net.ServerEndpoint;
import dewplank.store.DiskExecutor;
import dewplank.store.StoreFiles;
import java.io.IOException;
import java.util.random.RandomGenerator;

/**
 * All that a control plane takes from outside: time, random numbers, links, the disk, the platform, model servers and
 * the operators' calls. {@link SystemEnvironment} is the machine's; a simulation supplies its own.
 */
interface ControlEnvironment {
    Scheduler scheduler();

    /** The time of day in milliseconds, which may jump. */
    long wallClockMs();

    /** Seeded anew for each incarnation of a process. */
    RandomGenerator random();

    /** A new identity for an empty disk, different from all others. */
    String newIdentity();

    MessageTransport transport();

    StoreFiles files();

    DiskExecutor disk();

    PlatformClient platform();

    ModelServerClient modelServers();

    /**
     * Opens the address on which operators call; it accepts calls from {@link ServerEndpoint#accept} on.
     *
     * @throws IOException where the address can't be listened on
     */
    ServerEndpoint operators(OperatorApi api) throws IOException;

    /** Ends links and timers: the process is about to exit. */
    void stop();
}
