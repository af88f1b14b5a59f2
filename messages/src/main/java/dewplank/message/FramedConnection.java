package dewplank.message;

import dewplank.net.Connection;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import dewplank.net.ReceiveBudget;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/**
 * A {@link MessageLink} that carries messages as frames over one TCP connection.
 *
 * <p>It closes on a corrupt frame, if the peer does not read, and if the incomplete messages of all connections hold
 * too much memory and this one holds the most. All methods must be called on the event loop's
 * thread.
 */
public final class FramedConnection implements Listener.Accepted, MessageLink {
    private static final System.Logger LOG = System.getLogger(FramedConnection.class.getName());

    /** Maximum number of unsent bytes. Beyond it, the peer is considered unresponsive and the connection closes. */
    private static final long MAX_UNSENT_BYTES = 32L * 1024 * 1024;

    private final MessageCodec codec;
    private final MessageCodec.Decoder decoder;
    private final Handler handler;
    private final ReceiveBudget.Account held;
    private Connection connection;
    private Connection.Connecting connecting;
    private long unsentBytes;
    private boolean closed;

    /** Creates a connection for a listener to accept. */
    public FramedConnection(EventLoop loop, MessageCodec codec, Handler handler) {
        this.held = loop.receiveBudget().open(ReceiveBudget.Origin.FLEET, this::closeForOverload);
        this.codec = codec;
        this.decoder = codec.newDecoder();
        this.handler = handler;
    }

    /**
     * Opens a connection.
     *
     * @param timeoutMs the time within which the connection must be established; otherwise it closes
     */
    public static FramedConnection open(
            EventLoop loop, InetSocketAddress to, double timeoutMs, MessageCodec codec, Handler handler) {
        FramedConnection framed = new FramedConnection(loop, codec, handler);
        framed.connecting = Connection.open(loop, to, framed, framed::accepted, e -> framed.close());
        loop.after(timeoutMs, () -> {
            if (framed.connection == null) {
                framed.close();
            }
        });
        return framed;
    }

    @Override
    public void accepted(Connection established) {
        connection = established;
        connecting = null;
        handler.opened(this);
    }

    @Override
    public void received(ByteBuffer bytes) {
        try {
            for (Object message = decoder.decode(bytes); message != null && !closed; message = decoder.decode(bytes)) {
                handler.received(this, message);
            }
            if (!closed && !held.hold(decoder.heldBytes())) {
                closeForOverload();
            }
        } catch (CorruptFrameException e) {
            LOG.log(System.Logger.Level.WARNING, "internal connection closed: corrupt frame cause={0}", e.getMessage());
            close();
        }
    }

    private void closeForOverload() {
        LOG.log(
                System.Logger.Level.WARNING,
                "internal connection closed: incomplete messages hold too much memory bytes={0}",
                Long.toString(decoder.heldBytes()));
        close();
    }

    @Override
    public void closed(IOException cause) {
        close();
    }

    @Override
    public void send(Object message) {
        send(codec.encode(message));
    }

    /** Sends an encoded frame, so that a message for many connections needs to be encoded only once. */
    public void send(ByteBuffer frame) {
        if (closed || connection == null) {
            return;
        }
        int bytes = frame.remaining();
        unsentBytes += bytes;
        if (unsentBytes > MAX_UNSENT_BYTES) {
            close();
            return;
        }
        connection.write(frame, () -> unsentBytes -= bytes);
    }

    @Override
    public boolean isOpen() {
        return connection != null && !closed;
    }

    @Override
    public boolean isClosed() {
        return closed;
    }

    @Override
    public void close() {
        if (closed) {
            return;
        }
        closed = true;
        held.release();
        if (connection != null) {
            connection.close();
        } else if (connecting != null) {
            connecting.cancel();
        }
        handler.closed(this);
    }
}
