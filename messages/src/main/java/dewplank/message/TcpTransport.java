package dewplank.message;

import dewplank.net.EventLoop;
import dewplank.net.Listener;
import dewplank.net.ServerEndpoint;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** The {@link MessageTransport} that processes use in production: frames over TCP on one event loop. */
public final class TcpTransport implements MessageTransport {
    private final EventLoop loop;
    private final MessageCodec codec;

    /** Creates a transport. Its connections share the codec, which must be used only on the same event loop. */
    public TcpTransport(EventLoop loop, MessageCodec codec) {
        this.loop = loop;
        this.codec = codec;
    }

    @Override
    public MessageLink open(InetSocketAddress to, double timeoutMs, MessageLink.Handler handler) {
        return FramedConnection.open(loop, to, timeoutMs, codec, handler);
    }

    @Override
    public ServerEndpoint listen(
            InetSocketAddress at, int maxConnections, Supplier<? extends MessageLink.Handler> handlers)
            throws IOException {
        return new Listener(loop, at, maxConnections, () -> new FramedConnection(loop, codec, handlers.get()));
    }
}
