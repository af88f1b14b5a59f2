package dewplank.controlplane;

import dewplank.message.MessageLink;
import dewplank.message.MessageTransport;
import dewplank.net.ServerEndpoint;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** A transport whose connections are never established, and which does not listen. */
final class UnreachableTransport implements MessageTransport {
    @Override
    public MessageLink open(InetSocketAddress to, double timeoutMs, MessageLink.Handler handler) {
        return new ConnectingLink();
    }

    @Override
    public ServerEndpoint listen(
            InetSocketAddress at, int maxConnections, Supplier<? extends MessageLink.Handler> handlers) {
        throw new UnsupportedOperationException("this transport does not listen");
    }

    private static final class ConnectingLink implements MessageLink {
        @Override
        public void send(Object message) {}

        @Override
        public boolean isOpen() {
            return false;
        }

        @Override
        public boolean isClosed() {
            return false;
        }

        @Override
        public void close() {}
    }
}
