package dewplank.dataplane;

import dewplank.exchange.OnLoop;
import dewplank.membership.Member;
import dewplank.message.FleetMessages;
import dewplank.message.TcpTransport;
import dewplank.net.EventLoop;
import java.io.Closeable;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;

/** A data plane's sessions on an event loop, with stand-ins for control planes. */
final class SessionFixture implements Closeable {
    static final Member SELF = new Member("n1", Member.DATA, "10.0.0.9:1", ScriptedFleet.ZONE, 17);

    final EventLoop loop = new EventLoop();
    final FleetMetadata metadata = new FleetMetadata(loop);
    final SessionClient client;
    /** How often the client has reported a change of the fleet. */
    final AtomicInteger changes = new AtomicInteger();

    private final List<FakeControlPlane> controlPlanes = new ArrayList<>();

    /** A client, not yet started, that takes {@code contactMs} for the time within which a quorum is contacted. */
    SessionFixture(double contactMs) throws IOException {
        client = new SessionClient(
                loop,
                new TcpTransport(loop, FleetMessages.codec()),
                SELF,
                metadata,
                new SplittableRandom(3),
                contactMs,
                changes::incrementAndGet);
    }

    /** A new control plane, which the client does not know yet; it is closed with the fixture. */
    FakeControlPlane controlPlane() throws IOException {
        FakeControlPlane controlPlane = new FakeControlPlane();
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

    private void setSeeds(FakeControlPlane... seeds) {
        for (FakeControlPlane seed : seeds) {
            client.setSeeds(List.of(seed.address()));
        }
    }

    /** Lets so much time pass by the loop's timers. */
    void pass(double ms) throws InterruptedException {
        OnLoop.pass(loop, ms);
    }

    /** Waits until that version of the configuration is in force. */
    void awaitVersion(long version) throws Exception {
        OnLoop.await(loop, () -> metadata.configurationVersion() == version);
    }

    void awaitOpenSessions(int count) throws Exception {
        OnLoop.await(loop, () -> client.openSessions() == count);
    }

    @Override
    public void close() throws IOException {
        loop.stop();
        for (FakeControlPlane controlPlane : controlPlanes) {
            controlPlane.close();
        }
    }
}
