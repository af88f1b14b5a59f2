package dewplank.dataplane;

import dewplank.exchange.OnLoop;
import dewplank.exchange.TestPeer;
import dewplank.membership.Member;
import dewplank.net.EventLoop;
import dewplank.quota.QuotaBounds;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A data plane's sessions over TCP on an event loop, with fake control planes. The test's clock advances from one timer
 * to the next while the test waits, and only after all sent messages have been handled.
 */
final class SessionFixture implements Closeable {
    static final Member SELF = new Member("n1", Member.DATA, "10.0.0.9:1", ScriptedFleet.ZONE, 17);

    /** With these terms, a token may be used for half a second after it was requested. */
    static final QuotaBounds QUOTA_BOUNDS = new QuotaBounds(10_000, 0.05, 0);

    private static final int RANDOM_SEED = 3;

    /** Timeout of a wait, by the test's clock. */
    private static final double MAX_WAIT_MS = TestPeer.TIMEOUT_S * 1_000.0;

    final EventLoop loop = new EventLoop();
    final FleetMetadata metadata;
    final SessionClient client;
    /** Requests tokens over the client's sessions, with the test's clock. */
    final QuotaClient quotas;
    /** The number of updates that the client has reported as applied. */
    final AtomicInteger changes = new AtomicInteger();

    private final ManualScheduler scheduler = new ManualScheduler(loop);
    private final ObservedTransport transport = new ObservedTransport(loop);
    private final List<FakeControlPlane> controlPlanes = new CopyOnWriteArrayList<>();

    /** Creates a client, not yet started, with {@code contactMs} as the setting {@code contact_ms}. */
    SessionFixture(double contactMs) throws IOException {
        metadata = new FleetMetadata(scheduler);
        client = new SessionClient(
                scheduler,
                transport,
                SELF,
                metadata,
                new SplittableRandom(RANDOM_SEED),
                contactMs,
                changes::incrementAndGet);
        quotas = new QuotaClient(scheduler, QUOTA_BOUNDS);
        client.connectQuotaClient(quotas);
    }

    /** Creates a control plane whose address the client does not have yet; it is closed with the fixture. */
    FakeControlPlane controlPlane() throws IOException {
        FakeControlPlane controlPlane = new FakeControlPlane(this::await);
        controlPlanes.add(controlPlane);
        return controlPlane;
    }

    /** Adds seeds to the client. */
    void addSeeds(FakeControlPlane... seeds) throws Exception {
        OnLoop.run(loop, () -> setSeeds(seeds));
    }

    /** Starts the client with these seeds. */
    void start(FakeControlPlane... seeds) throws Exception {
        OnLoop.run(loop, () -> {
            setSeeds(seeds);
            client.start();
        });
    }

    /** Starts the client with one control plane as its seed, and waits for the session with it. */
    FakeControlPlane.Session startSession() throws Exception {
        FakeControlPlane seed = controlPlane();
        start(seed);
        return seed.session();
    }

    /** Like {@link #startSession}, with a control plane that does not acknowledge heartbeats by itself. */
    FakeControlPlane.Session startSessionWithoutAcks() throws Exception {
        FakeControlPlane seed = controlPlane().withoutAcks();
        start(seed);
        return seed.session();
    }

    private void setSeeds(FakeControlPlane... seeds) {
        for (FakeControlPlane seed : seeds) {
            client.setSeeds(List.of(seed.address()));
        }
    }

    /** Creates another quota client with these terms, which replaces {@link #quotas}. */
    QuotaClient replaceQuotaClient(QuotaBounds bounds) throws Exception {
        QuotaClient next = new QuotaClient(scheduler, bounds);
        OnLoop.run(loop, () -> client.connectQuotaClient(next));
        return next;
    }

    /** The test's clock in milliseconds. */
    double now() {
        return scheduler.now();
    }

    /** Access control by this client's metadata and the test's clock; its methods must run on the loop's thread. */
    AccessControl accessControl(AccessControl.Revocation revocation) {
        return new AccessControl(scheduler, metadata, revocation);
    }

    /** Advances the clock without running timers or handling messages, as in a paused process. */
    void pause(double ms) throws Exception {
        OnLoop.run(loop, () -> scheduler.pause(ms));
    }

    /** Advances the clock by this time: all timers within it run, and the messages that they send are handled. */
    void advanceClock(double ms) throws Exception {
        double until = now() + ms;
        settle();
        while (now() < until) {
            advance(until);
        }
    }

    /** Advances the clock until the condition holds; it is evaluated on the loop's thread after each timer. */
    void await(Callable<Boolean> reached) throws Exception {
        double until = now() + MAX_WAIT_MS;
        settle();
        while (!OnLoop.get(loop, reached)) {
            if (now() >= until) {
                throw new AssertionError("condition not met within " + MAX_WAIT_MS + " ms of the test's clock");
            }
            advance(until);
        }
    }

    private void advance(double until) throws Exception {
        OnLoop.run(loop, () -> scheduler.advance(until));
        settle();
    }

    /** Waits until all sent messages have been handled; the clock does not advance. */
    private void settle() throws Exception {
        OnLoop.await(loop, () -> transport.isSettled(controlPlanes));
    }

    /** Waits until that version of the configuration is in force. */
    void awaitVersion(long version) throws Exception {
        await(() -> metadata.configurationVersion() == version);
    }

    void awaitOpenSessions(int count) throws Exception {
        await(() -> client.openSessions() == count);
    }

    /** Waits until the client has a connection to that address. */
    void awaitConnection(InetSocketAddress address) throws Exception {
        await(() -> transport.isOpen(address));
    }

    @Override
    public void close() throws IOException {
        loop.stop();
        for (FakeControlPlane controlPlane : controlPlanes) {
            controlPlane.close();
        }
    }
}
