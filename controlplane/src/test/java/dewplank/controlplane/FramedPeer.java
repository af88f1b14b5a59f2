package dewplank.controlplane;

import dewplank.exchange.OnLoop;
import dewplank.exchange.TestPeer;
import dewplank.message.ControlHeartbeat;
import dewplank.message.FleetMessages;
import dewplank.message.FramedConnection;
import dewplank.message.HeartbeatAck;
import dewplank.message.MessageCodec;
import dewplank.message.MessageLink;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

/** A process of the fleet that runs on a separate loop, records received messages and sends those of the test. */
final class FramedPeer implements MessageLink.Handler, Closeable {
    private final EventLoop loop = new EventLoop();
    private final MessageCodec codec = FleetMessages.codec();
    private final Listener listener;
    private final BlockingQueue<MessageLink> opened = new LinkedBlockingQueue<>();
    private final BlockingQueue<Object> messages = new LinkedBlockingQueue<>();
    private final BlockingQueue<MessageLink> closed = new LinkedBlockingQueue<>();
    private volatile boolean acknowledgesHeartbeats;

    FramedPeer() throws IOException {
        listener = new Listener(
                loop,
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                10,
                () -> new FramedConnection(loop, codec, this));
        loop.execute(listener::accept);
    }

    /** Makes this peer acknowledge every heartbeat of a control plane. */
    FramedPeer acknowledging() {
        acknowledgesHeartbeats = true;
        return this;
    }

    @Override
    public void opened(MessageLink connection) {
        opened.add(connection);
    }

    @Override
    public void received(MessageLink connection, Object message) {
        messages.add(message);
        if (acknowledgesHeartbeats && message instanceof ControlHeartbeat heartbeat) {
            connection.send(new HeartbeatAck(heartbeat.sequence, true, heartbeat.controlAddresses));
        }
    }

    @Override
    public void closed(MessageLink connection) {
        closed.add(connection);
    }

    private static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(TestPeer.TIMEOUT_S, TimeUnit.SECONDS);
        if (next == null) {
            throw new AssertionError("nothing arrived in time");
        }
        return next;
    }

    MessageLink connection() throws InterruptedException {
        return next(opened);
    }

    MessageLink nextClosedConnection() throws InterruptedException {
        return next(closed);
    }

    boolean hasNoClosedConnection() {
        return closed.isEmpty();
    }

    boolean hasNoFurtherConnection() {
        return opened.isEmpty();
    }

    boolean hasNoFurtherMessage() {
        return messages.isEmpty();
    }

    /** The next message of the given type; others are skipped. */
    <T> T message(Class<T> type) throws InterruptedException {
        Object next = next(messages);
        while (!type.isInstance(next)) {
            next = next(messages);
        }
        return type.cast(next);
    }

    /** The next message, which must be of the given type. */
    <T> T nextMessage(Class<T> type) throws InterruptedException {
        return type.cast(next(messages));
    }

    MessageLink connect(InetSocketAddress to) throws Exception {
        OnLoop.run(loop, () -> FramedConnection.open(loop, to, 5_000, codec, this));
        return connection();
    }

    void send(MessageLink on, Object message) throws Exception {
        OnLoop.run(loop, () -> on.send(message));
    }

    void closeConnection(MessageLink connection) throws Exception {
        OnLoop.run(loop, connection::close);
    }

    String address() throws IOException {
        return "127.0.0.1:" + ((InetSocketAddress) listener.address()).getPort();
    }

    @Override
    public void close() {
        loop.stop();
    }
}
