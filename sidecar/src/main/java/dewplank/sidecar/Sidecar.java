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
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/** One real sidecar: its listener, its clients and its host, from start to planned end. */
public final class Sidecar {
    private static final System.Logger LOG = System.getLogger(Sidecar.class.getName());
    /** New connections keep coming for 0.4 s after SIGTERM. */
    private static final double MIN_ACCEPT_AFTER_TERM_MS = 600;
    /** And a request half read then gets this long to become whole. */
    private static final double MAX_READ_AFTER_CLOSE_MS = 500;
    /** SIGKILL comes no sooner after SIGTERM than this and the longest deadline, counted as 3 s where it is longer. */
    private static final double KILL_DELAY_MS = 700;

    private static final double MAX_KILL_DEADLINE_MS = 3_000;
    /** By this long before it all is answered: the last answers' way, on a core that others use too. */
    private static final double KILL_MARGIN_MS = 200;

    private static final double DRAIN_POLL_INTERVAL_MS = 10;
    private static final double SWEEP_INTERVAL_MS = 50;
    /** How long a connection may wait for a whole request. */
    private static final double MAX_REQUEST_READ_MS = 2_000;
    /** There is room while clients hold no more than this part of what they may. */
    static final int IDLE_CAPACITY_DIVISOR = 3;
    /** How long it may wait between requests while there is room. */
    private static final double MAX_IDLE_MS = 60_000;
    /** And how long, in want of room, it may say nothing at all: who has a request sends it at once. */
    private static final double MAX_SILENT_WHEN_FULL_MS = 100;

    private static final double DRAIN_TIMEOUT_MARGIN_MS =
            1_500; // a connection that finishes takes a second at the most

    private final SidecarConfig config;
    private final EventLoop loop;
    private final BalancerHost host;
    private final Listener listener;
    private final int maxClientConnections;
    private final Set<ClientConnection> clients = new HashSet<>();
    private final CountDownLatch drained = new CountDownLatch(1);
    private final CountDownLatch drainStarted = new CountDownLatch(1);
    private boolean draining;
    private boolean closing;
    private boolean rehearsing;
    private SidecarConfig reloaded; // null until it was read again for the first time

    public Sidecar(SidecarConfig config) throws IOException {
        this(config, new AdaptiveBalancer(config.settings(), new SplittableRandom(config.seed())));
    }

    Sidecar(SidecarConfig config, Balancer balancer) throws IOException {
        this.config = config;
        loop = new EventLoop();
        host = new BalancerHost(loop, config, balancer);
        maxClientConnections = BalancerHost.maxClientConnections(config);
        listener = listen(config);
    }

    private Listener listen(SidecarConfig config) throws IOException {
        try {
            return new Listener(loop, config.listen(), maxClientConnections, () -> new ClientConnection(host, this));
        } catch (IOException e) {
            loop.stop();
            throw new InvalidInputException(
                    "configuration key listen: cannot listen on " + config.listen() + ": " + e.getMessage());
        }
    }

    public void start() {
        loop.execute(() -> {
            host.start();
            listener.accept();
            loop.after(SWEEP_INTERVAL_MS, this::sweep);
        });
    }

    /** Runs the common path first; until that has ended, {@code /_health} says that no client should come yet. */
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

    /** Whether clients may come. */
    boolean isReady() {
        return !rehearsing && host.hasAvailableServer();
    }

    public SocketAddress address() throws IOException {
        return listener.address();
    }

    /**
     * Takes a configuration that was read again. Only discovery's address can change while the sidecar runs;
     * all else waits for the next start. One that brings nothing new since the last is no second reload.
     */
    public void reload(SidecarConfig next) {
        boolean more = needsRestart(next, config);
        loop.execute(() -> {
            if (reloaded != null && next.discovery().equals(reloaded.discovery()) && !needsRestart(next, reloaded)) {
                LOG.log(System.Logger.Level.INFO, "configuration read again: nothing new");
                return;
            }
            reloaded = next;
            host.moveDiscoveryTo(next.discovery());
            LOG.log(
                    System.Logger.Level.INFO,
                    "configuration reloaded: discovery at {0}{1}",
                    next.discovery(),
                    more ? "; limits.sockets and settings stay as they were until the next start" : "");
        });
    }

    private static boolean needsRestart(SidecarConfig a, SidecarConfig b) {
        return a.maxSockets() != b.maxSockets() || !a.settings().equals(b.settings());
    }

    /**
     * Serves on as long as the platform surely lets it, then ends idle connections and waits for the rest. Guards
     * against clients that have nobody to ask: one that ended a second after SIGTERM was started again 2.3 s later.
     */
    public void drain() throws InterruptedException {
        DrainSchedule d = DrainSchedule.of(host.maxDeadlineMs(), host.minLatencyTargetMs());
        drain(d.acceptForMs(), d.completeByMs());
    }

    /**
     * {@code takeOnMs}: requests are taken for so long, as ever. A later one could not be sure to meet even the
     * shortest aim before {@code answerByMs}, by which all is answered, if need be as failed: SIGKILL may follow.
     */
    record DrainSchedule(double acceptForMs, double completeByMs) {
        static DrainSchedule of(double maxDeadlineMs, double minLatencyTargetMs) {
            double completeByMs = Math.min(maxDeadlineMs, MAX_KILL_DEADLINE_MS) + KILL_DELAY_MS - KILL_MARGIN_MS;
            double acceptForMs = Math.max(MIN_ACCEPT_AFTER_TERM_MS, completeByMs - minLatencyTargetMs);
            return new DrainSchedule(acceptForMs, Math.max(completeByMs, acceptForMs));
        }
    }

    void drain(double acceptForMs, double completeByMs) throws InterruptedException {
        loop.execute(() -> {
            LOG.log(System.Logger.Level.INFO, "draining: {0} requests open", host.openRequestCount());
            draining = true;
            host.completeAllBy(loop.now() + completeByMs);
            double untilMs = loop.now() + acceptForMs;
            loop.after(
                    Math.min(MIN_ACCEPT_AFTER_TERM_MS, acceptForMs),
                    () -> serveUntil(untilMs, (completeByMs - acceptForMs) / 2));
            drainStarted.countDown();
        });
        double most = completeByMs + DRAIN_TIMEOUT_MARGIN_MS;
        if (!drained.await((long) most, TimeUnit.MILLISECONDS)) {
            LOG.log(System.Logger.Level.WARNING, "draining did not end within {0} ms", Long.toString((long) most));
        }
        stop();
    }

    /** Until then, or until there is nobody left to serve; nobody new comes any more. */
    private void serveUntil(double untilMs, double maxReadMs) {
        if (loop.now() < untilMs && !clients.isEmpty()) {
            loop.after(DRAIN_POLL_INTERVAL_MS, () -> serveUntil(untilMs, maxReadMs));
            return;
        }
        closing = true;
        listener.close();
        closeWhenIdle(loop.now() + Math.min(MAX_READ_AFTER_CLOSE_MS, maxReadMs));
    }

    /** Ends at once, whatever is open. */
    public void stop() {
        host.closePeerChannel();
        loop.stop();
    }

    private void closeWhenIdle(double readUntilMs) {
        boolean includeUnread = loop.now() >= readUntilMs;
        closeIdle(includeUnread);
        // What is finishing counts too: the program's end would reset a connection on which bytes have come meanwhile.
        if (clients.isEmpty() && host.openRequestCount() == 0 && !listener.hasOpenConnections()) {
            host.close();
            LOG.log(System.Logger.Level.INFO, "drained");
            loop.after(DRAIN_POLL_INTERVAL_MS, drained::countDown); // the last answers are on their way out
        } else {
            loop.after(DRAIN_POLL_INTERVAL_MS, () -> closeWhenIdle(readUntilMs));
        }
    }

    /** Ends each connection on which no request is open, nor half read, unless {@code unread} gives those up. */
    void closeIdle(boolean includeUnread) {
        new ArrayList<>(clients).forEach(c -> c.closeIfIdle(includeUnread));
    }

    void awaitDrainStarted() throws InterruptedException {
        drainStarted.await();
    }

    private void sweep() {
        closeOverdue(loop.now());
        loop.after(SWEEP_INTERVAL_MS, this::sweep);
    }

    /**
     * Whether another connection may be kept idle. Where not, each answer is the last on its connection: clients
     * that ask once and keep theirs have a bound of their own, and reach it before the idle ones are old enough to end.
     * A draining sidecar ends none: no new ones come, and the client leaves it once all that it has are busy.
     */
    boolean hasIdleCapacity() {
        return draining || clients.size() <= maxClientConnections / IDLE_CAPACITY_DIVISOR;
    }

    /**
     * Clients that forget their connections, say nothing or stop halfway through a request would use up the
     * bound, and shut out those that have a request. Idle ones are let be while there is room.
     */
    void closeOverdue(double now) {
        boolean full = listener.isFull();
        boolean roomy = hasIdleCapacity();
        for (ClientConnection c : new ArrayList<>(clients)) {
            double most = c.isIdle() && roomy
                    ? MAX_IDLE_MS
                    : c.isSilent() && full ? MAX_SILENT_WHEN_FULL_MS : MAX_REQUEST_READ_MS;
            if (!c.busy() && now - c.waitingSinceMs() >= most) {
                c.timeOut();
            }
        }
    }

    EventLoop loop() {
        return loop;
    }

    int openRequestCount() {
        return host.openRequestCount();
    }

    /** Whether nothing is kept any more of any request, attempt or connection. */
    boolean hasReleasedEverything() {
        return host.hasReleasedEverything() && clients.isEmpty() && !listener.hasOpenConnections();
    }

    /** Of how many open clients' connections anything has been read. */
    long activeClientCount() {
        return clients.stream().filter(c -> !c.isSilent()).count();
    }

    /** Whether each answer is the last on its connection, as the sidecar is about to end. */
    boolean closing() {
        return closing;
    }

    void add(ClientConnection client) {
        clients.add(client);
    }

    void remove(ClientConnection client) {
        clients.remove(client);
    }
}
