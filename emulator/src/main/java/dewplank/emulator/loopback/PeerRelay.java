package dewplank.emulator.loopback;

import dewplank.emulator.World;
import dewplank.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/**
 * The network between sidecars. Each knows another by an address of its own for it, held here; a datagram sent there
 * comes to the other one late, or not at all, from the address by which that one knows the sender. One thread waits for
 * datagrams; when and whether they go on is settled on the loop, like all else of the world.
 */
final class PeerRelay implements AutoCloseable {
    /** The platform's bound on a datagram; a longer one is cut to one byte more, so that its receiver can tell. */
    private static final int MAX_DATAGRAM_BYTES = 256;
    /** On their way at one time; what comes beyond that is lost, as in a full buffer. */
    private static final int MAX_IN_FLIGHT = 4_096;

    private final EventLoop loop;
    private final World world;
    private final InetSocketAddress[] listen;
    private final DatagramChannel[][] channels; // [i][j]: where sidecar i reaches sidecar j
    private final Selector selector;
    private int inFlightCount;
    private long delivered;
    private long lost;

    private record Pair(int from, int to) {}

    PeerRelay(EventLoop loop, World world, int sidecars) throws IOException {
        this.loop = loop;
        this.world = world;
        this.selector = Selector.open();
        this.listen = new InetSocketAddress[sidecars];
        this.channels = new DatagramChannel[sidecars][sidecars];
        try {
            for (int i = 0; i < sidecars; i++) {
                listen[i] = Addresses.peer(i);
                for (int j = 0; j < sidecars; j++) {
                    if (i != j) {
                        channels[i][j] = DatagramChannel.open();
                        channels[i][j].bind(Addresses.peer(i, j, sidecars));
                        channels[i][j].configureBlocking(false);
                        channels[i][j].register(selector, SelectionKey.OP_READ, new Pair(i, j));
                    }
                }
            }
        } catch (IOException | RuntimeException e) {
            close();
            throw e;
        }
        Thread reader = new Thread(this::read, "lab-peers");
        reader.setDaemon(true);
        reader.start();
    }

    /** Where that sidecar listens for the others. */
    InetSocketAddress listen(int sidecar) {
        return listen[sidecar];
    }

    /** Where sidecar {@code from} reaches the other; its own place holds an address that nobody is at. */
    InetSocketAddress address(int from, int to) throws IOException {
        return from == to ? listen[from] : (InetSocketAddress) channels[from][to].getLocalAddress();
    }

    /** Datagrams that went on to their receivers. */
    long delivered() {
        return delivered;
    }

    long lost() {
        return lost;
    }

    private void read() {
        ByteBuffer buffer = ByteBuffer.allocate(MAX_DATAGRAM_BYTES + 1);
        try {
            while (selector.isOpen()) {
                selector.select();
                for (SelectionKey key : selector.selectedKeys()) {
                    buffer.clear();
                    if (((DatagramChannel) key.channel()).receive(buffer) != null) {
                        byte[] datagram = new byte[buffer.flip().remaining()];
                        buffer.get(datagram);
                        Pair pair = (Pair) key.attachment();
                        loop.execute(() -> forward(pair, datagram));
                    }
                }
                selector.selectedKeys().clear();
            }
        } catch (IOException | java.nio.channels.ClosedSelectorException e) {
            // the run is over
        }
    }

    private void forward(Pair pair, byte[] datagram) {
        double delay = world.messageDelay();
        if (delay < 0 || inFlightCount >= MAX_IN_FLIGHT) {
            lost++;
            return;
        }
        inFlightCount++;
        world.schedule(delay, () -> {
            inFlightCount--;
            try {
                channels[pair.to()][pair.from()].send(ByteBuffer.wrap(datagram), listen[pair.to()]);
                delivered++;
            } catch (IOException e) {
                lost++; // nobody is there now
            }
        });
    }

    @Override
    public void close() throws IOException {
        selector.close();
        for (DatagramChannel[] row : channels) {
            for (DatagramChannel channel : row) {
                if (channel != null) {
                    channel.close();
                }
            }
        }
    }
}
