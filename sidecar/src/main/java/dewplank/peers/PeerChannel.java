package dewplank.peers;

import dewplank.net.EventLoop;
import dewplank.settings.InvalidInputException;
import dewplank.sidecar.config.PeerAddresses;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedSelectorException;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;

/**
 * Exchanges datagrams with the other sidecars. Invalid and excess datagrams are dropped and counted.
 *
 * <p>NIO.2 has no asynchronous channel for datagrams. A thread named {@code peers} receives datagrams, checks their
 * sender and format, and passes them to the event loop's thread. Only the event loop's thread sends datagrams.
 */
public final class PeerChannel {
    /** Longer datagrams are neither sent nor accepted. */
    public static final int MAX_DATAGRAM_BYTES = 256;

    private static final System.Logger LOG = System.getLogger(PeerChannel.class.getName());
    /** Maximum number of datagrams queued for the event loop; further ones are dropped. A peer sends one per second. */
    static final int MAX_QUEUED = 256;
    /** Datagrams received before the thread pauses, so that a flood does not take the CPU from request handling. */
    private static final int MAX_BATCH = 64;

    private static final long BATCH_PAUSE_MS = 50;
    private static final int SOCKET_BUFFER_BYTES = 64 * 1024;
    private static final double REPORT_INTERVAL_MS = 60_000;

    /** Receives each valid datagram of a known peer, with the peer's index. Called on the event loop's thread. */
    public interface DatagramListener {
        void received(int peer, byte[] bytes);
    }

    /** Number of datagrams since the start, by result. */
    public record DatagramCounts(
            long sent, long unsent, long delivered, long unknownSender, long invalid, long overflowed) {}

    private final EventLoop loop;
    private final PeerAddresses addresses;
    private final int ownIndex;
    private final Predicate<byte[]> isValid;
    private final DatagramListener listener;
    private final Map<SocketAddress, Integer> indexByAddress = new HashMap<>();
    private final DatagramChannel channel;
    private final Selector selector;
    private final Thread thread;
    private final AtomicInteger queued = new AtomicInteger();
    private final AtomicLong unknownSender = new AtomicLong();
    private final AtomicLong invalid = new AtomicLong();
    private final AtomicLong overflowed = new AtomicLong();
    private long sent; // this and the following fields are written by the event loop's thread only
    private long unsent;
    private long delivered;
    private long reportedDiscards;

    /**
     * Binds the listening address.
     *
     * @param ownIndex this sidecar's index in {@code addresses.peers()}
     * @param isValid whether a datagram has the expected format; called on the receiving thread
     * @param listener called on the event loop's thread
     * @throws InvalidInputException if the address cannot be bound; the message names the configuration key
     */
    public PeerChannel(
            EventLoop loop,
            PeerAddresses addresses,
            int ownIndex,
            Predicate<byte[]> isValid,
            DatagramListener listener) {
        this.loop = loop;
        this.addresses = addresses;
        this.ownIndex = ownIndex;
        this.isValid = isValid;
        this.listener = listener;
        for (int i = 0; i < addresses.peers().size(); i++) {
            if (i != ownIndex) {
                indexByAddress.put(addresses.peers().get(i), i);
            }
        }
        try {
            channel = DatagramChannel.open();
            channel.setOption(StandardSocketOptions.SO_RCVBUF, SOCKET_BUFFER_BYTES);
            channel.setOption(StandardSocketOptions.SO_SNDBUF, SOCKET_BUFFER_BYTES);
            channel.bind(addresses.listen());
            channel.configureBlocking(false);
            selector = Selector.open();
            channel.register(selector, SelectionKey.OP_READ);
        } catch (IOException e) {
            throw new InvalidInputException(
                    "configuration key peer_listen: cannot listen on " + addresses.listen() + ": " + e.getMessage());
        }
        thread = new Thread(this::receive, "peers");
        thread.setDaemon(true);
    }

    /** Starts the receiving thread. Called once, on the event loop's thread. */
    public void start() {
        thread.start();
        loop.after(REPORT_INTERVAL_MS, this::reportDiscards);
    }

    /** Returns the bound address, with the actual port if the configured one is 0. */
    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    /** Returns the counts. On other threads than the event loop's, some of them may be out of date. */
    public DatagramCounts counts() {
        return new DatagramCounts(sent, unsent, delivered, unknownSender.get(), invalid.get(), overflowed.get());
    }

    /**
     * Sends a datagram to all peers. It is dropped and counted if the system's send buffer is full, because the next
     * summary follows within a second. Called on the event loop's thread.
     *
     * @throws IllegalArgumentException if the datagram is longer than {@link #MAX_DATAGRAM_BYTES}
     */
    public void broadcast(byte[] bytes) {
        if (bytes.length > MAX_DATAGRAM_BYTES) {
            throw new IllegalArgumentException(
                    bytes.length + " bytes exceed the datagram limit of " + MAX_DATAGRAM_BYTES + " bytes");
        }
        if (addresses.broadcast() != null) {
            send(bytes, addresses.broadcast());
            return;
        }
        for (int i = 0; i < addresses.peers().size(); i++) {
            if (i != ownIndex) {
                send(bytes, addresses.peers().get(i));
            }
        }
    }

    private void send(byte[] bytes, InetSocketAddress to) {
        try {
            if (channel.send(ByteBuffer.wrap(bytes), to) == bytes.length) {
                sent++;
                return;
            }
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "peer datagram send failed peer={0} cause={1}", to, e.getMessage());
        }
        unsent++;
    }

    private void receive() {
        ByteBuffer in = ByteBuffer.allocateDirect(MAX_DATAGRAM_BYTES + 1); // one byte more detects longer datagrams
        try {
            while (selector.isOpen()) {
                int readCount = MAX_BATCH;
                try {
                    selector.select();
                    selector.selectedKeys().clear();
                    readCount = receiveBatch(in);
                } catch (IOException e) {
                    LOG.log(System.Logger.Level.DEBUG, "peer datagram receive failed", e);
                }
                if (readCount == MAX_BATCH) {
                    Thread.sleep(BATCH_PAUSE_MS);
                }
            }
        } catch (ClosedSelectorException | InterruptedException e) {
            LOG.log(System.Logger.Level.DEBUG, "peer datagram receiver stopped", e);
        }
    }

    private int receiveBatch(ByteBuffer in) throws IOException {
        int readCount = 0;
        for (SocketAddress from; readCount < MAX_BATCH && (from = channel.receive(in.clear())) != null; readCount++) {
            enqueue(from, in.flip());
        }
        return readCount;
    }

    private void enqueue(SocketAddress from, ByteBuffer in) {
        Integer peer = indexByAddress.get(from);
        byte[] bytes = new byte[in.remaining()];
        in.get(bytes);
        if (peer == null) {
            unknownSender.incrementAndGet();
        } else if (bytes.length > MAX_DATAGRAM_BYTES || !isValid.test(bytes)) {
            invalid.incrementAndGet();
        } else if (queued.incrementAndGet() > MAX_QUEUED) {
            queued.decrementAndGet();
            overflowed.incrementAndGet();
        } else {
            loop.execute(() -> {
                queued.decrementAndGet();
                delivered++;
                listener.received(peer, bytes);
            });
        }
    }

    private void reportDiscards() {
        DatagramCounts counts = counts();
        long discarded = counts.unknownSender() + counts.invalid() + counts.overflowed();
        if (discarded > reportedDiscards) {
            reportedDiscards = discarded;
            LOG.log(
                    System.Logger.Level.WARNING,
                    "peer datagrams discarded unknownSender={0} invalid={1} overflowed={2}",
                    Long.toString(counts.unknownSender()),
                    Long.toString(counts.invalid()),
                    Long.toString(counts.overflowed()));
        }
        loop.after(REPORT_INTERVAL_MS, this::reportDiscards);
    }

    /** Closes the channel and stops the receiving thread. May be called from any thread. */
    public void close() {
        try {
            selector.close();
            channel.close();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "peer channel close failed", e);
        }
    }
}
