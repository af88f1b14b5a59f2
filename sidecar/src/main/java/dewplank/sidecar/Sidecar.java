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
    private static final double ACCEPT_ON_MS = 600;
    /** And a request half read then gets this long to become whole. */
    private static final double READ_ON_MS = 500;
    /** SIGKILL comes no sooner after SIGTERM than this and the longest deadline, counted as 3 s where it is longer. */
    private static final double KILL_AFTER_MS = 700;

    private static final double KILL_DEADLINE_MS = 3_000;
    /** By this long before it all is answered: the last answers' way, on a core that others use too. */
    private static final double KILL_SPARE_MS = 200;

    private static final double LOOK_MS = 10;
    private static final double SWEEP_MS = 50;
    /** How long a connection may wait for a whole request. */
    private static final double WHOLE_MS = 2_000;
    /** There is room while clients hold no more than this part of what they may. */
    static final int ROOMY_PART = 3;
    /** How long it may wait between requests while there is room. */
    private static final double ROOMY_IDLE_MS = 60_000;
    /** And how long, in want of room, it may say nothing at all: who has a request sends it at once. */
    private static final double SILENT_MS = 100;

    private static final double DRAIN_SPARE_MS = 1_500; // a connection that finishes takes a second at the most

    private final SidecarConfig config;
    private final EventLoop loop;
    private final Host host;
    private final Listener listener;
    private final int mostClients;
    private final Set<ClientConnection> clients = new HashSet<>();
    private final CountDownLatch drained = new CountDownLatch(1);
    private final CountDownLatch drainBegun = new CountDownLatch(1);
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
        host = new Host(loop, config, balancer);
        mostClients = Host.mostClients(config);
        listener = listen(config);
    }

    private Listener listen(SidecarConfig config) throws IOException {
        try {
            return new Listener(loop, config.listen(), mostClients, () -> new ClientConnection(host, this));
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
            loop.after(SWEEP_MS, this::sweep);
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
    boolean ready() {
        return !rehearsing && host.canServe();
    }

    public SocketAddress address() throws IOException {
        return listener.address();
    }

    /**
     * Takes a configuration that was read again. Only discovery's address can change while the sidecar runs;
     * all else waits for the next start. One that brings nothing new since the last is no second reload.
     */
    public void reload(SidecarConfig next) {
        boolean more = otherSettings(next, config);
        loop.execute(() -> {
            if (reloaded != null && next.discovery().equals(reloaded.discovery()) && !otherSettings(next, reloaded)) {
                LOG.log(System.Logger.Level.INFO, "configuration read again: nothing new");
                return;
            }
            reloaded = next;
            host.discoveryMoved(next.discovery());
            LOG.log(
                    System.Logger.Level.INFO,
                    "configuration reloaded: discovery at {0}{1}",
                    next.discovery(),
                    more ? "; limits.sockets and settings stay as they were until the next start" : "");
        });
    }

    private static boolean otherSettings(SidecarConfig a, SidecarConfig b) {
        return a.sockets() != b.sockets() || !a.settings().equals(b.settings());
    }

    /**
     * Serves on as long as the platform surely lets it, then ends idle connections and waits for the rest. Guards
     * against clients that have nobody to ask: one that ended a second after SIGTERM was started again 2.3 s later.
     */
    public void drain() throws InterruptedException {
        Drain d = Drain.of(host.longestDeadlineMs(), host.shortestAimMs());
        drain(d.takeOnMs(), d.answerByMs());
    }

    /**
     * {@code takeOnMs}: requests are taken for so long, as ever. A later one could not be sure to meet even the
     * shortest aim before {@code answerByMs}, by which all is answered, if need be as failed: SIGKILL may follow.
     */
    record Drain(double takeOnMs, double answerByMs) {
        static Drain of(double longestDeadlineMs, double shortestAimMs) {
            double by = Math.min(longestDeadlineMs, KILL_DEADLINE_MS) + KILL_AFTER_MS - KILL_SPARE_MS;
            double takeOn = Math.max(ACCEPT_ON_MS, by - shortestAimMs);
            return new Drain(takeOn, Math.max(by, takeOn));
        }
    }

    void drain(double takeOnMs, double answerByMs) throws InterruptedException {
        loop.execute(() -> {
            LOG.log(System.Logger.Level.INFO, "draining: {0} requests open", host.requestsOpen());
            draining = true;
            host.answerBy(loop.now() + answerByMs);
            double until = loop.now() + takeOnMs;
            loop.after(Math.min(ACCEPT_ON_MS, takeOnMs), () -> serveOn(until, (answerByMs - takeOnMs) / 2));
            drainBegun.countDown();
        });
        double most = answerByMs + DRAIN_SPARE_MS;
        if (!drained.await((long) most, TimeUnit.MILLISECONDS)) {
            LOG.log(System.Logger.Level.WARNING, "draining did not end within {0} ms", Long.toString((long) most));
        }
        stop();
    }

    /** Until then, or until there is nobody left to serve; nobody new comes any more. */
    private void serveOn(double until, double readOnMs) {
        if (loop.now() < until && !clients.isEmpty()) {
            loop.after(LOOK_MS, () -> serveOn(until, readOnMs));
            return;
        }
        closing = true;
        listener.close();
        endWhenIdle(loop.now() + Math.min(READ_ON_MS, readOnMs));
    }

    /** Ends at once, whatever is open. */
    public void stop() {
        host.closePeers();
        loop.stop();
    }

    private void endWhenIdle(double readUntil) {
        boolean unread = loop.now() >= readUntil;
        endIdle(unread);
        // What is finishing counts too: the program's end would reset a connection on which bytes have come meanwhile.
        if (clients.isEmpty() && host.requestsOpen() == 0 && !listener.hasOpenConnections()) {
            host.close();
            LOG.log(System.Logger.Level.INFO, "drained");
            loop.after(LOOK_MS, drained::countDown); // the last answers are on their way out
        } else {
            loop.after(LOOK_MS, () -> endWhenIdle(readUntil));
        }
    }

    /** Ends each connection on which no request is open, nor half read, unless {@code unread} gives those up. */
    void endIdle(boolean unread) {
        new ArrayList<>(clients).forEach(c -> c.endIfIdle(unread));
    }

    void awaitDraining() throws InterruptedException {
        drainBegun.await();
    }

    private void sweep() {
        endWaiting(loop.now());
        loop.after(SWEEP_MS, this::sweep);
    }

    /**
     * Whether another connection may be kept idle. Where not, each answer is the last on its connection: clients
     * that ask once and keep theirs have a bound of their own, and reach it before the idle ones are old enough to end.
     * A draining sidecar ends none: no new ones come, and the client leaves it once all that it has are busy.
     */
    boolean roomy() {
        return draining || clients.size() <= mostClients / ROOMY_PART;
    }

    /**
     * Clients that forget their connections, say nothing or stop halfway through a request would use up the
     * bound, and shut out those that have a request. Idle ones are let be while there is room.
     */
    void endWaiting(double now) {
        boolean full = listener.isFull();
        boolean roomy = roomy();
        for (ClientConnection c : new ArrayList<>(clients)) {
            double most = c.idle() && roomy ? ROOMY_IDLE_MS : c.silent() && full ? SILENT_MS : WHOLE_MS;
            if (!c.busy() && now - c.waitsSince() >= most) {
                c.giveUp();
            }
        }
    }

    EventLoop loop() {
        return loop;
    }

    int requestsOpen() {
        return host.requestsOpen();
    }

    /** Whether nothing is kept any more of any request, attempt or connection. */
    boolean holdsNothing() {
        return host.holdsNothing() && clients.isEmpty() && !listener.hasOpenConnections();
    }

    /** Of how many open clients' connections anything has been read. */
    long clientsHeard() {
        return clients.stream().filter(c -> !c.silent()).count();
    }

    /** Whether each answer is the last on its connection, as the sidecar is about to end. */
    boolean closing() {
        return closing;
    }

    void joined(ClientConnection client) {
        clients.add(client);
    }

    void left(ClientConnection client) {
        clients.remove(client);
    }
}
