package dewplank.controlplane;

import dewplank.message.MessageTransport;
import dewplank.net.Scheduler;
import dewplank.net.ServerEndpoint;
import dewplank.store.DiskExecutor;
import dewplank.store.StoreFiles;
import java.io.IOException;
import java.util.random.RandomGenerator;

/**
 * All that a control plane takes from outside: time, chance, links, the disk, the platform, model servers and the
 * operators' calls. The shipped program gets the machine's, a simulation its own.
 */
interface ControlEnvironment {
    Scheduler scheduler();

    /** The time of day in milliseconds, which may jump. */
    long wallClockMs();

    /** Differs from life to life of a process. */
    RandomGenerator random();

    /** The identity of a disk that nobody has seen before. */
    String newIdentity();

    MessageTransport transport();

    StoreFiles files();

    DiskExecutor disk();

    PlatformClient platform();

    ModelServerClient modelServers();

    /** Where operators' calls for this interface come in. */
    ServerEndpoint operators(OperatorApi api) throws IOException;

    /** Ends links and timers; the process is about to end. */
    void stop();
}
