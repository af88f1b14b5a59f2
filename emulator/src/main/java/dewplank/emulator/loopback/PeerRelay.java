package dewplank.emulator.loopback;

import dewplank.emulator.EmulatedEnvironment;
import dewplank.net.EventLoop;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;

/**
 * The network between sidecars. Each sidecar sends datagrams for a peer to an address that belongs to the pair. The
 * relay drops the datagram or forwards it with a delay, from the address that the receiver associates with the sender.
 * A separate thread receives datagrams; delay and loss are determined on the loop's thread.
 */
final class PeerRelay implements AutoCloseable {
    /** The platform's size limit. Longer datagrams are truncated to one byte more, so that receivers reject them. */
    private static final int MAX_DATAGRAM_BYTES = 256;
    /** Maximum number of datagrams in flight; further ones are lost, as with a full buffer. */
    private static final int MAX_IN_FLIGHT = 4_096;

    private final EventLoop loop;
    private final EmulatedEnvironment environment;
    private final InetSocketAddress[] listen;
    private final DatagramChannel[][] channels; // [i][j]: receives datagrams from sidecar i to sidecar j
    private final Selector selector;
    private int inFlightCount;
    private long delivered;
    private long lost;

    private record Pair(int from, int to) {}

    PeerRelay(EventLoop loop, EmulatedEnvironment environment, int sidecars) throws IOException {
        this.loop = loop;
        this.environment = environment;
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

    /** The address at which a sidecar receives datagrams. */
    InetSocketAddress listen(int sidecar) {
        return listen[sidecar];
    }

    /** The address at which {@code from} reaches {@code to}; for itself, its own address, which it does not use. */
    InetSocketAddress address(int from, int to) throws IOException {
        return from == to ? listen[from] : (InetSocketAddress) channels[from][to].getLocalAddress();
    }

    /** The number of datagrams delivered so far. */
    long delivered() {
        return delivered;
    }

    /** The number of datagrams lost so far. */
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
            // the relay was closed
        }
    }

    private void forward(Pair pair, byte[] datagram) {
        double delay = environment.drawPeerDelayMs();
        if (delay < 0 || inFlightCount >= MAX_IN_FLIGHT) {
            lost++;
            return;
        }
        inFlightCount++;
        environment.schedule(delay, () -> {
            inFlightCount--;
            try {
                channels[pair.to()][pair.from()].send(ByteBuffer.wrap(datagram), listen[pair.to()]);
                delivered++;
            } catch (IOException e) {
                lost++; // the receiver is not running
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
