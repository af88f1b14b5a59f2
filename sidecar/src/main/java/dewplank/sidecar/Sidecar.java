package dewplank.sidecar;

import dewplank.balancer.Balancer;
import dewplank.balancer.adaptive.AdaptiveBalancer;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import dewplank.settings.InvalidInputException;
import dewplank.sidecar.config.SidecarConfig;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;

/**
 * A running sidecar: its event loop, listener, clients and balancer host, from the start to a graceful shutdown.
 *
 * <p>The {@code serve} command calls the public methods, from any thread. Package-private methods run on the event
 * loop's thread unless they state otherwise.
 */
public final class Sidecar {
    private static final System.Logger LOG = System.getLogger(Sidecar.class.getName());
    private static final double SWEEP_INTERVAL_MS = 50;

    private final SidecarConfig config;
    private final EventLoop loop;
    private final BalancerHost host;
    private final Listener listener;
    private final ClientConnections clients;
    private final GracefulShutdown shutdown;
    private boolean isWarmingUp;
    private SidecarConfig lastReloaded; // null until the first reload

    public Sidecar(SidecarConfig config) throws IOException {
        this(config, new AdaptiveBalancer(config.settings(), new SplittableRandom(config.seed())));
    }

    Sidecar(SidecarConfig config, Balancer balancer) throws IOException {
        this.config = config;
        loop = new EventLoop();
        host = new BalancerHost(loop, config, balancer);
        clients = new ClientConnections(config.maxClientConnections());
        listener = listen(config, new RequestDecoder(config.settings()));
        shutdown = new GracefulShutdown(loop, host, clients, listener);
    }

    private Listener listen(SidecarConfig config, RequestDecoder decoder) throws IOException {
        try {
            return new Listener(
                    loop,
                    config.listen(),
                    config.maxClientConnections(),
                    () -> new ClientConnection(loop, host, decoder, clients, this::isReady));
        } catch (IOException e) {
            loop.stop();
            throw new InvalidInputException(
                    "configuration key listen: cannot listen on " + config.listen() + ": " + e.getMessage());
        }
    }

    /** Starts to accept clients. Called once. */
    public void start() {
        loop.execute(() -> {
            host.start();
            listener.accept();
            loop.after(SWEEP_INTERVAL_MS, this::sweep);
        });
    }

    /**
     * Starts the warm-up of the JVM. Until it has ended, {@code /_health} responds with 503.
     *
     * @return a future that is completed on the event loop's thread when the warm-up has ended
     */
    public CompletableFuture<Void> warmUp() throws IOException {
        CompletableFuture<Void> done = new CompletableFuture<>();
        InetSocketAddress ownAddress = (InetSocketAddress) listener.address();
        loop.execute(() -> {
            isWarmingUp = true;
            new JvmWarmUp(loop, ownAddress, config.settings(), () -> {
                        isWarmingUp = false;
                        done.complete(null);
                    })
                    .start();
        });
        return done;
    }

    /** Whether the sidecar is ready for clients: no warm-up is in progress and a server is available. */
    boolean isReady() {
        return !isWarmingUp && host.hasAvailableServer();
    }

    /** Returns the listening address, with the actual port. */
    public SocketAddress address() throws IOException {
        return listener.address();
    }

    /**
     * Applies a reloaded configuration. Only discovery's address can change while the sidecar runs; all other changes
     * take effect at the next start. A configuration equal to that of the last reload is skipped.
     */
    public void reload(SidecarConfig next) {
        boolean isRestartRequired = needsRestart(next, config);
        loop.execute(() -> {
            if (lastReloaded != null
                    && next.discovery().equals(lastReloaded.discovery())
                    && !needsRestart(next, lastReloaded)) {
                LOG.log(System.Logger.Level.INFO, "configuration reload skipped reason=unchanged");
                return;
            }
            lastReloaded = next;
            host.changeDiscoveryAddress(next.discovery());
            LOG.log(
                    System.Logger.Level.INFO,
                    "configuration reloaded discovery={0}{1}",
                    next.discovery(),
                    isRestartRequired ? " restartRequired=limits.sockets,settings" : "");
        });
    }

    private static boolean needsRestart(SidecarConfig a, SidecarConfig b) {
        return a.maxSockets() != b.maxSockets() || !a.settings().equals(b.settings());
    }

    /**
     * Drains according to the deadlines and latency targets in the settings, then stops; blocks until then. The sidecar
     * continues to serve in the meantime, because a client may have no other sidecar. A sidecar that exited one second
     * after SIGTERM was restarted only 2.3 s later.
     */
    public void drain() throws InterruptedException {
        drain(DrainSchedule.of(host.maxDeadlineMs(), host.minLatencyTargetMs()));
    }

    void drain(DrainSchedule schedule) throws InterruptedException {
        shutdown.run(schedule);
        stop();
    }

    /** Stops immediately, without waiting for open requests. May be called from any thread. */
    public void stop() {
        host.closePeerChannel();
        loop.stop();
    }

    void awaitDrainStarted() throws InterruptedException {
        shutdown.awaitStarted();
    }

    private void sweep() {
        closeTimedOut(loop.now());
        loop.after(SWEEP_INTERVAL_MS, this::sweep);
    }

    void closeTimedOut(double nowMs) {
        clients.closeTimedOut(nowMs, listener.isFull());
    }

    ClientConnections clients() {
        return clients;
    }

    EventLoop loop() {
        return loop;
    }

    int openRequestCount() {
        return host.openRequestCount();
    }

    /** Whether no request, attempt or client connection is retained. */
    boolean hasReleasedEverything() {
        return host.hasReleasedEverything() && clients.isEmpty() && !listener.hasOpenConnections();
    }
}
