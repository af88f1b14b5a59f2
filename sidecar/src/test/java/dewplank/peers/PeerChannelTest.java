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
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Exchange of datagrams between a sidecar, two scripted peers and an unknown sender. */
class PeerChannelTest {
    private static final int TIMEOUT_S = 20;

    private record ReceivedDatagram(int peer, byte[] bytes) {}

    private final BlockingQueue<ReceivedDatagram> received = new LinkedBlockingQueue<>();
    private final Semaphore validated = new Semaphore(0);
    private final DatagramSocket first = socket();
    private final DatagramSocket second = socket();
    private final DatagramSocket unknownSender = socket();
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

    private static InetSocketAddress addressOf(DatagramSocket socket) {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    @BeforeEach
    void open() throws Exception {
        loop = new EventLoop();
        peers = peers(null);
        peers.start();
    }

    /** Called on the receiving thread. */
    private boolean isValid(byte[] bytes) {
        validated.release();
        return bytes.length > 0 && bytes[0] == 1;
    }

    private PeerChannel peers(InetSocketAddress broadcast) {
        InetSocketAddress anyPort = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
        return new PeerChannel(
                loop,
                new PeerAddresses(anyPort, List.of(addressOf(first), anyPort, addressOf(second)), broadcast),
                1,
                this::isValid,
                (peer, bytes) -> received.add(new ReceivedDatagram(peer, bytes)));
    }

    @AfterEach
    void close() {
        peers.close();
        loop.stop();
        List.of(first, second, unknownSender).forEach(DatagramSocket::close);
    }

    private void send(DatagramSocket from, byte... bytes) throws Exception {
        from.send(new DatagramPacket(bytes, bytes.length, peers.address()));
    }

    private static byte[] next(DatagramSocket socket) throws Exception {
        DatagramPacket packet = new DatagramPacket(new byte[512], 512);
        socket.receive(packet);
        return java.util.Arrays.copyOf(packet.getData(), packet.getLength());
    }

    private ReceivedDatagram nextReceived() throws Exception {
        ReceivedDatagram datagram = received.poll(TIMEOUT_S, TimeUnit.SECONDS);
        assertTrue(datagram != null, "no datagram was received");
        return datagram;
    }

    @Test
    void onlyValidDatagramsOfPeersAreDelivered() throws Exception {
        send(unknownSender, (byte) 1, (byte) 9);
        send(first, (byte) 2, (byte) 9); // invalid
        send(first, new byte[0]);
        send(first, new byte[257]); // longer than allowed
        send(second, (byte) 1, (byte) 7);
        ReceivedDatagram datagram = nextReceived();
        assertEquals(2, datagram.peer());
        assertArrayEquals(new byte[] {1, 7}, datagram.bytes());
        assertNull(received.poll());
        PeerChannel.DatagramCounts counts = peers.counts();
        assertEquals(1, counts.unknownSender());
        assertEquals(3, counts.invalid());
    }

    @Test
    void aBroadcastIsSentToAllOtherPeers() throws Exception {
        loop.execute(() -> peers.broadcast(new byte[] {1, 5}));
        assertArrayEquals(new byte[] {1, 5}, next(first));
        assertArrayEquals(new byte[] {1, 5}, next(second));
        assertThrows(IllegalArgumentException.class, () -> peers.broadcast(new byte[257]));
        peers.close();
        peers = peers(addressOf(unknownSender)); // one broadcast address
        loop.execute(() -> peers.broadcast(new byte[256]));
        assertEquals(256, next(unknownSender).length);
    }

    /** A flood from a faulty peer neither exhausts the memory nor prevents the receipt of later datagrams. */
    @Test
    void datagramsAboveTheQueueLimitAreDropped() throws Exception {
        CountDownLatch busy = new CountDownLatch(1);
        loop.execute(() -> {
            try {
                busy.await();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        });
        // Each datagram is counted before the next one is validated, so the second to last has overflowed by then.
        for (int sent = 0; sent < PeerChannel.MAX_QUEUED + 2; sent++) {
            send(first, (byte) 1);
            assertTrue(validated.tryAcquire(TIMEOUT_S, TimeUnit.SECONDS), "the datagram was not received");
        }
        assertTrue(peers.counts().overflowed() > 0);
        assertTrue(received.isEmpty());
        busy.countDown();
        for (int index = 0; index < PeerChannel.MAX_QUEUED; index++) {
            nextReceived();
        }
        send(second, (byte) 1, (byte) 8);
        ReceivedDatagram datagram = nextReceived();
        while (datagram.peer() != 2) {
            datagram = nextReceived();
        }
        assertArrayEquals(new byte[] {1, 8}, datagram.bytes());
    }

    @Test
    void theErrorNamesAnAddressInUse() throws Exception {
        PeerAddresses taken = new PeerAddresses(addressOf(first), List.of(), null);
        assertTrue(assertThrows(
                        InvalidInputException.class,
                        () -> new PeerChannel(loop, taken, 0, bytes -> true, (peer, bytes) -> {}))
                .getMessage()
                .startsWith("configuration key peer_listen: cannot listen on /127.0.0.1:"));
    }
}
