package dewplank.message;

import dewplank.net.Connection;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;

/** A connection that carries messages as frames over TCP. On the loop's thread only. */
public final class FramedConnection implements Listener.Accepted, MessageLink {
    /** Unsent bytes beyond which the peer counts as stuck, and the connection ends. */
    private static final long MAX_UNSENT_BYTES = 32L * 1024 * 1024;

    private final MessageCodec codec;
    private final MessageCodec.Reader reader;
    private final Handler handler;
    private Connection connection;
    private Connection.Connecting connecting;
    private long unsentBytes;
    private boolean over;

    /** For a connection that a listener accepts. */
    public FramedConnection(MessageCodec codec, Handler handler) {
        this.codec = codec;
        this.reader = codec.reader();
        this.handler = handler;
    }

    /** Opens a connection within so many milliseconds. */
    public static FramedConnection open(
            EventLoop loop, InetSocketAddress to, double timeoutMs, MessageCodec codec, Handler handler) {
        FramedConnection framed = new FramedConnection(codec, handler);
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
            for (Object message = reader.next(bytes); message != null && !over; message = reader.next(bytes)) {
                handler.received(this, message);
            }
        } catch (CorruptFrameException e) {
            close();
        }
    }

    @Override
    public void closed(IOException why) {
        close();
    }

    @Override
    public void send(Object message) {
        send(codec.encode(message));
    }

    /** Sends an encoded frame, so that one encoding serves many connections. */
    public void send(ByteBuffer frame) {
        if (over || connection == null) {
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
        return connection != null && !over;
    }

    @Override
    public boolean isClosed() {
        return over;
    }

    @Override
    public void close() {
        if (over) {
            return;
        }
        over = true;
        if (connection != null) {
            connection.close();
        } else if (connecting != null) {
            connecting.cancel();
        }
        handler.closed(this);
    }
}
