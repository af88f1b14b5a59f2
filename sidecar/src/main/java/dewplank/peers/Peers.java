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
 * Datagrams to and from the other sidecars. NIO.2 has no asynchronous channel for them: one thread waits for them and
 * hands what counts over to the loop, which alone sends.
 */
public final class Peers {
    public static final int MOST_BYTES = 256;
    private static final System.Logger LOG = System.getLogger(Peers.class.getName());
    /** Waiting for the loop; beyond that the newest are dropped. A peer tells once a second. */
    static final int MOST_WAITING = 256;
    /** Read at one go, after which the thread rests: a flood must not take the core from the requests. */
    private static final int BATCH = 64;

    private static final long REST_MS = 50;
    private static final int SOCKET_BUFFER = 64 * 1024;
    private static final double SAY_EVERY_MS = 60_000;

    /** What a known peer sent, by its number. Called on the loop. */
    public interface Heard {
        void heard(int peer, byte[] bytes);
    }

    /** Datagrams by what became of them, since the start. */
    public record Counts(long sent, long notSent, long heard, long foreign, long unreadable, long overBound) {}

    private final EventLoop loop;
    private final PeerAddresses addresses;
    private final int me;
    private final Predicate<byte[]> readable;
    private final Heard heard;
    private final Map<SocketAddress, Integer> numbers = new HashMap<>();
    private final DatagramChannel channel;
    private final Selector selector;
    private final Thread thread;
    private final AtomicInteger waiting = new AtomicInteger();
    private final AtomicLong foreign = new AtomicLong();
    private final AtomicLong unreadable = new AtomicLong();
    private final AtomicLong overBound = new AtomicLong();
    private long sent; // from here on the loop's own
    private long notSent;
    private long delivered;
    private long said;

    /** Binds the address; {@code readable} says on the waiting thread whether bytes are worth handing over. */
    public Peers(EventLoop loop, PeerAddresses addresses, int me, Predicate<byte[]> readable, Heard heard) {
        this.loop = loop;
        this.addresses = addresses;
        this.me = me;
        this.readable = readable;
        this.heard = heard;
        for (int i = 0; i < addresses.peers().size(); i++) {
            if (i != me) {
                numbers.put(addresses.peers().get(i), i);
            }
        }
        try {
            channel = DatagramChannel.open();
            channel.setOption(StandardSocketOptions.SO_RCVBUF, SOCKET_BUFFER);
            channel.setOption(StandardSocketOptions.SO_SNDBUF, SOCKET_BUFFER);
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

    public void start() {
        thread.start();
        loop.after(SAY_EVERY_MS, this::say);
    }

    public InetSocketAddress address() throws IOException {
        return (InetSocketAddress) channel.getLocalAddress();
    }

    public Counts counts() {
        return new Counts(sent, notSent, delivered, foreign.get(), unreadable.get(), overBound.get());
    }

    /** To all of the tier. What the system takes no room for is dropped and counted: news a second old is no loss. */
    public void tell(byte[] bytes) {
        if (bytes.length > MOST_BYTES) {
            throw new IllegalArgumentException(bytes.length + " bytes for peers, of " + MOST_BYTES + " at the most");
        }
        if (addresses.all() != null) {
            send(bytes, addresses.all());
            return;
        }
        for (int i = 0; i < addresses.peers().size(); i++) {
            if (i != me) {
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
            LOG.log(System.Logger.Level.DEBUG, "a datagram could not be sent to {0}: {1}", to, e.getMessage());
        }
        notSent++;
    }

    private void receive() {
        ByteBuffer in = ByteBuffer.allocateDirect(MOST_BYTES + 1); // one more shows that it was longer
        try {
            while (selector.isOpen()) {
                int read = BATCH;
                try {
                    selector.select();
                    selector.selectedKeys().clear();
                    read = receiveSome(in);
                } catch (IOException e) {
                    LOG.log(System.Logger.Level.DEBUG, "datagrams from peers could not be read", e);
                }
                if (read == BATCH) {
                    Thread.sleep(REST_MS);
                }
            }
        } catch (ClosedSelectorException | InterruptedException e) {
            LOG.log(System.Logger.Level.DEBUG, "datagrams from peers are no longer read", e);
        }
    }

    private int receiveSome(ByteBuffer in) throws IOException {
        int read = 0;
        for (SocketAddress from; read < BATCH && (from = channel.receive(in.clear())) != null; read++) {
            take(from, in.flip());
        }
        return read;
    }

    private void take(SocketAddress from, ByteBuffer in) {
        Integer peer = numbers.get(from);
        byte[] bytes = new byte[in.remaining()];
        in.get(bytes);
        if (peer == null) {
            foreign.incrementAndGet();
        } else if (bytes.length > MOST_BYTES || !readable.test(bytes)) {
            unreadable.incrementAndGet();
        } else if (waiting.incrementAndGet() > MOST_WAITING) {
            waiting.decrementAndGet();
            overBound.incrementAndGet();
        } else {
            loop.execute(() -> {
                waiting.decrementAndGet();
                delivered++;
                heard.heard(peer, bytes);
            });
        }
    }

    private void say() {
        Counts now = counts();
        long spoilt = now.foreign() + now.unreadable() + now.overBound();
        if (spoilt > said) {
            said = spoilt;
            LOG.log(
                    System.Logger.Level.WARNING,
                    "datagrams not taken since the start: {0} of unknown senders, {1} "
                            + "unreadable, {2} over the bound",
                    now.foreign(),
                    now.unreadable(),
                    now.overBound());
        }
        loop.after(SAY_EVERY_MS, this::say);
    }

    /** Ends the thread. May be called from any thread. */
    public void close() {
        try {
            selector.close();
            channel.close();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "closing failed", e);
        }
    }
}
