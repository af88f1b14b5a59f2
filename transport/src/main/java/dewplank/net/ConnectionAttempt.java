package dewplank.net;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.channels.AsynchronousSocketChannel;
import java.nio.channels.CompletionHandler;
import java.util.function.Consumer;

/**
 * An attempt to open a {@link Connection}. Calls one of its callbacks in a later task on the loop's thread, unless it
 * is cancelled. Created and used on the loop's thread only.
 */
final class ConnectionAttempt implements Connection.Connecting {
    private final EventLoop loop;
    private final InetSocketAddress to;
    private final Connection.Handler handler;
    private final Consumer<Connection> onConnected;
    private final Consumer<IOException> onFailed;
    /** Null if no channel could be opened. */
    private AsynchronousSocketChannel channel;

    private boolean isCancelled;

    ConnectionAttempt(
            EventLoop loop,
            InetSocketAddress to,
            Connection.Handler handler,
            Consumer<Connection> onConnected,
            Consumer<IOException> onFailed) {
        this.loop = loop;
        this.to = to;
        this.handler = handler;
        this.onConnected = onConnected;
        this.onFailed = onFailed;
    }

    /** Starts to connect from a local address; null lets the operating system choose it. */
    void start(InetAddress from) {
        try {
            channel = AsynchronousSocketChannel.open(loop.group());
            if (from != null) {
                channel.bind(new InetSocketAddress(from, 0));
            }
            channel.connect(to, null, new ConnectHandler());
        } catch (IOException | RuntimeException e) {
            // no file descriptor is available, or the address is unresolved or of a family that is not supported
            loop.execute(() -> fail(Connection.asIoException(e)));
        }
    }

    @Override
    public void cancel() {
        isCancelled = true;
        closeChannel();
    }

    private void closeChannel() {
        if (channel != null) {
            Connection.closeQuietly(channel);
        }
    }

    private void fail(IOException e) {
        closeChannel();
        if (!isCancelled) {
            onFailed.accept(e);
        }
    }

    private void succeed() {
        if (isCancelled) {
            return;
        }
        try {
            Connection connection = new Connection(loop, channel, handler);
            onConnected.accept(connection);
            connection.read();
        } catch (IOException e) {
            fail(e);
        }
    }

    /** Hands the result over to the loop's thread. */
    private final class ConnectHandler implements CompletionHandler<Void, Void> {
        @Override
        public void completed(Void nothing, Void attachment) {
            loop.execute(ConnectionAttempt.this::succeed);
        }

        @Override
        public void failed(Throwable e, Void attachment) {
            loop.execute(() -> fail(Connection.asIoException(e)));
        }
    }
}
