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
 * One running sidecar: its event loop, listener, clients and balancer host, from the start to a graceful shutdown.
 *
 * <p>The command {@code serve} calls the public methods, from any thread. What is package-private runs on the event
 * loop's thread unless it says otherwise.
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
    private boolean rehearsing;
    private SidecarConfig reloaded; // null until it was read again for the first time

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

    /** Accepts clients from here on. Called once. */
    public void start() {
        loop.execute(() -> {
            host.start();
            listener.accept();
            loop.after(SWEEP_INTERVAL_MS, this::sweep);
        });
    }

    /**
     * Starts to run the common path; until that has ended, {@code /_health} answers 503.
     *
     * @return completed on the event loop's thread
     */
    public CompletableFuture<Void> rehearse() throws IOException {
        CompletableFuture<Void> done = new CompletableFuture<>();
        InetSocketAddress self = (InetSocketAddress) listener.address();
        loop.execute(() -> {
            rehearsing = true;
            new Rehearsal(loop, self, config.settings(), () -> {
                        rehearsing = false;
                        done.complete(null);
                    })
                    .start();
        });
        return done;
    }

    /** Whether clients may come: the rehearsal has ended, and a server is available. */
    boolean isReady() {
        return !rehearsing && host.hasAvailableServer();
    }

    /** The address listened on, with its actual port. */
    public SocketAddress address() throws IOException {
        return listener.address();
    }

    /**
     * Applies a configuration that was read again. Only discovery's address can change while the sidecar runs; all else
     * waits for the next start. One equal to the last reload's is skipped.
     */
    public void reload(SidecarConfig next) {
        boolean more = needsRestart(next, config);
        loop.execute(() -> {
            if (reloaded != null && next.discovery().equals(reloaded.discovery()) && !needsRestart(next, reloaded)) {
                LOG.log(System.Logger.Level.INFO, "configuration reload skipped reason=unchanged");
                return;
            }
            reloaded = next;
            host.moveDiscoveryTo(next.discovery());
            LOG.log(
                    System.Logger.Level.INFO,
                    "configuration reloaded discovery={0}{1}",
                    next.discovery(),
                    more ? " restartRequired=limits.sockets,settings" : "");
        });
    }

    private static boolean needsRestart(SidecarConfig a, SidecarConfig b) {
        return a.maxSockets() != b.maxSockets() || !a.settings().equals(b.settings());
    }

    /**
     * Drains by the settings' deadlines and latency targets, then stops; blocks until then. Serving on guards clients
     * that have no other sidecar: one that ended a second after SIGTERM was started again 2.3 s later.
     */
    public void drain() throws InterruptedException {
        drain(DrainSchedule.of(host.maxDeadlineMs(), host.minLatencyTargetMs()));
    }

    void drain(DrainSchedule schedule) throws InterruptedException {
        shutdown.run(schedule);
        stop();
    }

    /** Ends at once, whatever is open. May be called from any thread. */
    public void stop() {
        host.closePeerChannel();
        loop.stop();
    }

    void awaitDrainStarted() throws InterruptedException {
        shutdown.awaitStarted();
    }

    private void sweep() {
        closeOverdue(loop.now());
        loop.after(SWEEP_INTERVAL_MS, this::sweep);
    }

    void closeOverdue(double nowMs) {
        clients.closeOverdue(nowMs, listener.isFull());
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
