package dewplank.dataplane;

import dewplank.exchange.OnLoop;
import dewplank.exchange.Wire;
import dewplank.membership.Member;
import dewplank.net.EventLoop;
import dewplank.quota.QuotaTerms;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.Callable;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * A data plane's sessions over TCP on an event loop, with stand-ins for control planes. The clock is the test's: it
 * moves from one timer to the next while the test waits, and only once all that was sent was handled.
 */
final class SessionFixture implements Closeable {
    static final Member SELF = new Member("n1", Member.DATA, "10.0.0.9:1", ScriptedFleet.ZONE, 17);

    /** A token may be used for half a second after it was asked for. */
    static final QuotaTerms QUOTA_TERMS = new QuotaTerms(10_000, 0.05, 0);

    private static final int RANDOM_SEED = 3;

    /** By the test's clock, after which a wait fails. */
    private static final double MAX_WAIT_MS = Wire.PATIENCE_S * 1_000.0;

    final EventLoop loop = new EventLoop();
    final FleetMetadata metadata;
    final SessionClient client;
    /** Asks for tokens by the client's sessions, by the test's clock. */
    final QuotaClient quotas;
    /** How often the client has reported a change of the fleet. */
    final AtomicInteger changes = new AtomicInteger();

    private final ManualScheduler scheduler = new ManualScheduler(loop);
    private final ObservedTransport transport = new ObservedTransport(loop);
    private final List<FakeControlPlane> controlPlanes = new CopyOnWriteArrayList<>();

    /** A client, not yet started, that takes {@code contactMs} for the time within which a quorum is contacted. */
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
        quotas = new QuotaClient(scheduler, QUOTA_TERMS);
        client.serve(quotas);
    }

    /** A new control plane, which the client does not know yet; it is closed with the fixture. */
    FakeControlPlane controlPlane() throws IOException {
        FakeControlPlane controlPlane = new FakeControlPlane(this::await);
        controlPlanes.add(controlPlane);
        return controlPlane;
    }

    /** Names further seeds to the client. */
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

    /** Starts the client with one control plane as its seed; the session that it opens there. */
    FakeControlPlane.Session startSession() throws Exception {
        FakeControlPlane seed = controlPlane();
        start(seed);
        return seed.session();
    }

    /** The same, with a control plane that acknowledges nothing by itself. */
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

    /** Another client for tokens under these terms, which takes the place of {@link #quotas}. */
    QuotaClient serveQuotas(QuotaTerms terms) throws Exception {
        QuotaClient next = new QuotaClient(scheduler, terms);
        OnLoop.run(loop, () -> client.serve(next));
        return next;
    }

    /** The test's clock in milliseconds. */
    double now() {
        return scheduler.now();
    }

    /** Decides by what this client learns, and by the test's clock; its methods are for the loop's thread. */
    AccessControl accessControl(AccessControl.Revocation revocation) {
        return new AccessControl(scheduler, metadata, revocation);
    }

    /** Lets so much time pass without anything being done or handled. */
    void standStill(double ms) throws Exception {
        OnLoop.run(loop, () -> scheduler.standStill(ms));
    }

    /** Moves the clock on by so much: all timers within that time run, and what they send is handled. */
    void pass(double ms) throws Exception {
        double until = now() + ms;
        settle();
        while (now() < until) {
            advance(until);
        }
    }

    /** Moves the clock until the condition holds, which is evaluated on the loop's thread after each timer. */
    void await(Callable<Boolean> reached) throws Exception {
        double until = now() + MAX_WAIT_MS;
        settle();
        while (!OnLoop.get(loop, reached)) {
            if (now() >= until) {
                throw new AssertionError("not within " + MAX_WAIT_MS + " ms by the test's clock");
            }
            advance(until);
        }
    }

    private void advance(double until) throws Exception {
        OnLoop.run(loop, () -> scheduler.advance(until));
        settle();
    }

    /** Waits until everything that was sent was handled; the clock does not move. */
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

    /** Waits until the client has a connection with that address. */
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
