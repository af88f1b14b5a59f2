package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.exchange.OnLoop;
import dewplank.exchange.TestPeer;
import dewplank.membership.Member;
import dewplank.message.ControlHeartbeat;
import dewplank.message.ControlHello;
import dewplank.message.FleetMessages;
import dewplank.message.MessageLink;
import dewplank.message.TcpTransport;
import dewplank.net.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests the links to other control planes, which are replaced by instances of {@link FramedPeer}. */
class ControlMeshTest {
    private static final String SELF_ADDRESS = "127.0.0.1:9";
    private static final Member SELF = new Member("c0", Member.CONTROL, SELF_ADDRESS, "z", 3);

    private EventLoop loop;
    private ControlMesh mesh;
    private final List<FramedPeer> peers = new ArrayList<>();
    private final BlockingQueue<String> linkUps = new LinkedBlockingQueue<>();
    private final Set<String> retained = new HashSet<>();
    private final BlockingQueue<Object> messagesToSelf = new LinkedBlockingQueue<>();

    @BeforeEach
    void setUp() throws IOException {
        loop = new EventLoop();
        mesh = new ControlMesh(
                loop,
                new TcpTransport(loop, FleetMessages.codec()),
                new ControlHello(SELF, "disk-0", true),
                new ControlMesh.Handler() {
                    @Override
                    public ControlHeartbeat createHeartbeat(long sequence) {
                        return new ControlHeartbeat(sequence, List.of(SELF), mesh.liveAddresses());
                    }

                    @Override
                    public void onMessage(String address, Object message) {
                        messagesToSelf.add(message);
                    }

                    @Override
                    public void onLinkUp(String address) {
                        linkUps.add(address);
                    }

                    @Override
                    public boolean isRetained(String address) {
                        return retained.contains(address);
                    }
                });
    }

    @AfterEach
    void tearDown() {
        loop.stop();
        peers.forEach(FramedPeer::close);
    }

    private FramedPeer newPeer() throws IOException {
        peers.add(new FramedPeer());
        return peers.get(peers.size() - 1);
    }

    private void start(String... addresses) throws Exception {
        OnLoop.run(loop, () -> {
            mesh.addAddresses(List.of(addresses));
            mesh.start();
        });
    }

    private String nextLinkUp() throws InterruptedException {
        return linkUps.poll(TestPeer.TIMEOUT_S, TimeUnit.SECONDS);
    }

    @Test
    void connectsOnceToEachPeerSendsHelloAndHeartbeats() throws Exception {
        FramedPeer other = newPeer().acknowledging();
        start(other.address(), SELF_ADDRESS, other.address());
        assertEquals(other.address(), nextLinkUp());
        ControlHello hello = other.nextMessage(ControlHello.class);
        assertEquals(SELF, hello.member);
        assertEquals("disk-0", hello.identity);
        ControlHeartbeat first = other.message(ControlHeartbeat.class);
        assertEquals(List.of(SELF), first.sessions);
        assertTrue(first.controlAddresses.containsAll(List.of(SELF_ADDRESS, other.address())));
        assertTrue(other.message(ControlHeartbeat.class).sequence > first.sequence);
        other.connection();
        assertTrue(other.hasNoFurtherConnection());
        assertEquals(List.of(SELF_ADDRESS, other.address()), OnLoop.get(loop, mesh::liveAddresses));
        assertEquals(1, OnLoop.get(loop, mesh::addressCount));
    }

    @Test
    void sendsToOnePeerAndBroadcastsToAll() throws Exception {
        FramedPeer one = newPeer().acknowledging();
        FramedPeer two = newPeer().acknowledging();
        start(one.address(), two.address());
        nextLinkUp();
        nextLinkUp();
        OnLoop.run(loop, () -> {
            mesh.send(one.address(), new ControlHello(SELF, "for one", true));
            mesh.send("127.0.0.1:1", new ControlHello(SELF, "for an unknown peer", true));
            mesh.broadcast(new ControlHello(SELF, "for all", true));
        });
        one.message(ControlHello.class); // the hello of the link itself
        assertEquals("for one", one.message(ControlHello.class).identity);
        assertEquals("for all", one.message(ControlHello.class).identity);
        two.message(ControlHello.class);
        assertEquals("for all", two.message(ControlHello.class).identity);
    }

    /** A message that a task sends to its own process is delivered after that task. */
    @Test
    void aMessageToSelfArrivesInALaterTask() throws Exception {
        start();
        OnLoop.run(loop, () -> {
            mesh.send(SELF_ADDRESS, "own");
            assertTrue(messagesToSelf.isEmpty());
        });
        assertEquals("own", messagesToSelf.poll(TestPeer.TIMEOUT_S, TimeUnit.SECONDS));
    }

    @Test
    void reconnectsOnlyAfterAHeartbeatTimeout() throws Exception {
        FramedPeer unresponsive = newPeer();
        FramedPeer responsive = newPeer().acknowledging();
        start(unresponsive.address(), responsive.address());
        MessageLink first = unresponsive.connection();
        assertEquals(first, unresponsive.nextClosedConnection());
        assertNotSame(first, unresponsive.connection());
        assertTrue(responsive.hasNoClosedConnection());
    }

    @Test
    void reconnectsABrokenLink() throws Exception {
        FramedPeer other = newPeer().acknowledging();
        start(other.address());
        MessageLink first = other.connection();
        other.message(ControlHeartbeat.class);
        other.closeConnection(first);
        assertNotSame(first, other.connection());
        assertEquals(other.address(), nextLinkUp());
        assertEquals(other.address(), nextLinkUp());
    }

    @Test
    void aHelloAddsThePeerAndRecordsItsArrivalTime() throws Exception {
        FramedPeer other = newPeer().acknowledging();
        start();
        Member member = new Member("c1", Member.CONTROL, other.address(), "z", 5);
        OnLoop.run(loop, () -> mesh.onHello(new ControlHello(member, "disk-1", true)));
        assertEquals(other.address(), nextLinkUp());
        ControlMesh.Peer peer = OnLoop.get(loop, () -> mesh.peers(5_000)).get(0);
        assertEquals(member, peer.member());
        assertEquals("disk-1", peer.identity());
        OnLoop.waitMs(loop, 20);
        OnLoop.run(loop, () -> mesh.onHello(new ControlHello(member, "disk-1", true)));
        ControlMesh.Peer later = OnLoop.get(loop, () -> mesh.peers(5_000)).get(0);
        assertEquals(peer.firstReceivedAt(), later.firstReceivedAt());
        assertTrue(later.lastReceivedAt() > peer.lastReceivedAt());
        OnLoop.run(loop, () -> mesh.onHello(new ControlHello(member, "disk-2", true))); // restarted without its disk
        ControlMesh.Peer changed = OnLoop.get(loop, () -> mesh.peers(5_000)).get(0);
        assertEquals("disk-2", changed.identity());
        assertTrue(changed.firstReceivedAt() > peer.firstReceivedAt());
        OnLoop.waitMs(loop, 30);
        assertEquals(List.of(), OnLoop.get(loop, () -> mesh.peers(20)));
        OnLoop.run(loop, () -> mesh.recordReceived(new ControlHello(member, "disk-2", true)));
        assertEquals(1, OnLoop.get(loop, () -> mesh.peers(20)).size());
    }

    @Test
    void opensNoMoreThanMaxPeersLinks() throws Exception {
        OnLoop.run(loop, () -> {
            List<String> many = new ArrayList<>();
            for (int i = 0; i < 500; i++) {
                many.add("127.0.1." + i % 200 + ":" + (1 + i));
            }
            mesh.addAddresses(many);
            assertEquals(ControlMesh.MAX_PEERS, mesh.addressCount());
        });
    }

    /** Guards against 64 addresses of replaced machines preventing a link to the 65th machine. */
    @Test
    void evictsTheLongestDeadPeerThatIsNotRetained() throws Exception {
        OnLoop.run(loop, () -> {
            retained.add("127.0.1.1:1");
            List<String> dead = new ArrayList<>();
            for (int i = 1; i <= ControlMesh.MAX_PEERS; i++) {
                dead.add("127.0.1." + i + ":1");
            }
            mesh.addAddresses(dead);
            assertEquals(ControlMesh.MAX_PEERS, mesh.addressCount());
            mesh.addAddresses(List.of("127.0.2.1:1"));
            List<String> addresses = mesh.addressesLiveFirst();
            assertTrue(addresses.contains("127.0.2.1:1"));
            assertTrue(addresses.contains("127.0.1.1:1"));
            assertFalse(addresses.contains("127.0.1.2:1"));
            assertEquals(ControlMesh.MAX_PEERS, mesh.addressCount());
        });
    }
}
