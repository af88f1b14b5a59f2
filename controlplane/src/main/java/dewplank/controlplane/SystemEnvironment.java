package dewplank.controlplane;

import dewplank.message.MessageCodec;
import dewplank.message.MessageTransport;
import dewplank.message.TcpTransport;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import dewplank.net.Scheduler;
import dewplank.net.ServerEndpoint;
import dewplank.settings.NodeSettings;
import dewplank.store.AcceptorStore;
import dewplank.store.DiskExecutor;
import dewplank.store.DiskFiles;
import dewplank.store.SingleThreadDiskExecutor;
import dewplank.store.StoreException;
import dewplank.store.StoreFiles;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;

/** The environment of a real process: the clock, sockets and disk of the machine. */
final class SystemEnvironment implements ControlEnvironment {
    /** Interval at which operators' idle connections are checked. */
    private static final double IDLE_CHECK_INTERVAL_MS = 1_000;
    /** Operators' connections use at most the file descriptors divided by this. */
    private static final int OPERATORS_DESCRIPTOR_DIVISOR = 4;

    private static final int MIN_OPERATOR_CONNECTIONS = 16;

    private final NodeSettings settings;
    private final DataDirectory dataDirectory;
    private final EventLoop loop;
    private final RandomGenerator random = new SplittableRandom(new SecureRandom().nextLong());
    private final StoreFiles files = new DiskFiles();
    private final DiskExecutor disk;
    private final MessageTransport transport;

    /**
     * Creates the environment of a process with these settings.
     *
     * @throws IOException if sockets can't be opened
     * @throws StoreException if the path of the data directory is that of a file
     */
    static SystemEnvironment of(NodeSettings settings, MessageCodec codec) throws IOException, StoreException {
        Path directory = settings.dataDirectory();
        if (directory != null && Files.exists(directory) && !Files.isDirectory(directory)) {
            throw new StoreException("data_directory is no directory: " + directory);
        }
        return new SystemEnvironment(settings, codec);
    }

    private SystemEnvironment(NodeSettings settings, MessageCodec codec) throws IOException {
        this.settings = settings;
        dataDirectory = new DataDirectory(settings.dataDirectory());
        loop = new EventLoop();
        disk = new SingleThreadDiskExecutor(loop::execute);
        transport = new TcpTransport(loop, codec);
    }

    @Override
    public Scheduler scheduler() {
        return loop;
    }

    @Override
    public long wallClockMs() {
        return System.currentTimeMillis();
    }

    @Override
    public RandomGenerator random() {
        return random;
    }

    @Override
    public String newIdentity() {
        return AcceptorStore.randomIdentity();
    }

    @Override
    public MessageTransport transport() {
        return transport;
    }

    @Override
    public StoreFiles files() {
        return files;
    }

    @Override
    public void prepareDataDirectory() throws StoreException {
        dataDirectory.prepare(settings.initialStart());
    }

    @Override
    public DiskExecutor disk() {
        return disk;
    }

    @Override
    public PlatformClient platform() {
        return new HttpPlatformClient(
                loop, settings.platform().address(), settings.platform().callsPerSecond());
    }

    @Override
    public ModelServerClient modelServers() {
        return new HttpModelServerClient(loop);
    }

    @Override
    public ServerEndpoint operators(OperatorApi api) throws IOException {
        loop.execute(() -> closeIdleConnections(api));
        return new Listener(
                loop,
                settings.control(),
                maxOperatorConnections(),
                () -> api.connection(loop),
                () -> api.makeRoom(loop.now()));
    }

    private int maxOperatorConnections() {
        int descriptors = settings.resources().fileDescriptors() / OPERATORS_DESCRIPTOR_DIVISOR;
        return Math.max(MIN_OPERATOR_CONNECTIONS, Math.min(ControlPlane.MAX_CONNECTIONS, descriptors));
    }

    private void closeIdleConnections(OperatorApi api) {
        api.closeIdleConnections();
        loop.after(IDLE_CHECK_INTERVAL_MS, () -> closeIdleConnections(api));
    }

    @Override
    public void stop() {
        loop.stop();
    }
}
