package dewplank.peers;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.net.EventLoop;
import dewplank.settings.InvalidInputException;
import dewplank.sidecar.config.PeerAddresses;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketException;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** One sidecar's datagrams, between two scripted peers and a stranger. */
class PeerChannelTest {
    private static final int TIMEOUT_S = 20;

    private record Said(int peer, byte[] bytes) {}

    private final BlockingQueue<Said> heard = new LinkedBlockingQueue<>();
    private final DatagramSocket one = socket();
    private final DatagramSocket two = socket();
    private final DatagramSocket stranger = socket();
    private EventLoop loop;
    private PeerChannel peers;

    private static DatagramSocket socket() {
        try {
            DatagramSocket socket = new DatagramSocket(0, InetAddress.getLoopbackAddress());
            socket.setSoTimeout(TIMEOUT_S * 1000);
            return socket;
        } catch (SocketException e) {
            throw new AssertionError(e);
        }
    }

    private static InetSocketAddress at(DatagramSocket socket) {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    @BeforeEach
    void open() throws Exception {
        loop = new EventLoop();
        peers = peers(null);
        peers.start();
    }

    private PeerChannel peers(InetSocketAddress all) {
        InetSocketAddress free = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new PeerChannel(
                loop,
                new PeerAddresses(free, List.of(at(one), free, at(two)), all),
                1,
                bytes -> bytes.length > 0 && bytes[0] == 1,
                (peer, bytes) -> heard.add(new Said(peer, bytes)));
    }

    @AfterEach
    void close() {
        peers.close();
        loop.stop();
        List.of(one, two, stranger).forEach(DatagramSocket::close);
    }

    private void send(DatagramSocket from, byte... bytes) throws Exception {
        from.send(new DatagramPacket(bytes, bytes.length, peers.address()));
    }

    private static byte[] next(DatagramSocket at) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        at.receive(packet);
        return java.util.Arrays.copyOf(packet.getData(), packet.getLength());
    }

    private Said nextHeard() throws Exception {
        Said said = heard.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertTrue(said != null, "nothing was heard");
        return said;
    }

    @Test
    void onlyDatagramsOfPeersAreDelivered() throws Exception {
        send(stranger, (byte) 1, (byte) 9);
        send(one, (byte) 2, (byte) 9); // not readable
        send(one, new byte[0]);
        send(one, new byte[257]); // cut off at 257, so longer than allowed
        send(two, (byte) 1, (byte) 7);
        Said said = nextHeard();
        assertEquals(2, said.peer());
        assertArrayEquals(new byte[] {1, 7}, said.bytes());
        assertNull(heard.poll());
        PeerChannel.DatagramCounts counts = peers.counts();
        assertEquals(1, counts.unknownSender());
        assertEquals(3, counts.invalid());
    }

    @Test
    void aBroadcastReachesEachPeerButItself() throws Exception {
        loop.execute(() -> peers.broadcast(new byte[] {1, 5}));
        assertArrayEquals(new byte[] {1, 5}, next(one));
        assertArrayEquals(new byte[] {1, 5}, next(two));
        assertThrows(IllegalArgumentException.class, () -> peers.broadcast(new byte[257]));
        peers.close();
        peers = peers(at(stranger)); // one address for all of the tier
        loop.execute(() -> peers.broadcast(new byte[256]));
        assertEquals(256, next(stranger).length);
    }

    /** A flood from a peer that went wrong neither fills the memory nor ends the hearing. */
    @Test
    void datagramsBeyondTheBoundAreDropped() throws Exception {
        CountDownLatch busy = new CountDownLatch(1);
        loop.execute(() -> {
            try {
                busy.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        for (int i = 0; i < 20_000 && peers.counts().overflowed() == 0; i++) {
            send(one, (byte) 1);
            Thread.sleep(i % 10 == 0 ? 1 : 0);
        }
        assertTrue(peers.counts().overflowed() > 0);
        assertTrue(heard.isEmpty());
        busy.countDown();
        for (int i = 0; i < PeerChannel.MAX_QUEUED; i++) {
            nextHeard();
        }
        send(two, (byte) 1, (byte) 8);
        Said said = nextHeard();
        while (said.peer() != 2) {
            said = nextHeard();
        }
        assertArrayEquals(new byte[] {1, 8}, said.bytes());
    }

    @Test
    void anAddressInUseIsNamed() throws Exception {
        PeerAddresses taken = new PeerAddresses(at(one), List.of(), null);
        assertTrue(assertThrows(
                        InvalidInputException.class, () -> new PeerChannel(loop, taken, 0, b -> true, (p, b) -> {}))
                .getMessage()
                .startsWith("configuration key peer_listen: cannot listen on /127.0.0.1:"));
    }
}
