package dewplank.dataplane;

import dewplank.message.FleetMessages;
import dewplank.message.MessageLink;
import dewplank.message.MessageTransport;
import dewplank.message.TcpTransport;
import dewplank.net.EventLoop;
import dewplank.net.ServerEndpoint;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * A transport over TCP that counts the messages of each connection, so that a test with a manual clock can determine
 * when all sent messages have been handled. Not thread-safe; must be used on the event loop's thread only.
 */
final class ObservedTransport implements MessageTransport {
    /** Only limits how long a failing test takes, as the test's clock stands still while a connection is opened. */
    private static final double CONNECT_TIMEOUT_MS = 20_000;

    private final TcpTransport transport;
    private final List<ObservedLink> links = new ArrayList<>();

    ObservedTransport(EventLoop loop) {
        transport = new TcpTransport(loop, FleetMessages.codec());
    }

    @Override
    public MessageLink open(InetSocketAddress to, double timeoutMs, MessageLink.Handler handler) {
        ObservedLink link = new ObservedLink(to, handler);
        links.add(link);
        link.connection = transport.open(to, CONNECT_TIMEOUT_MS, link);
        return link;
    }

    @Override
    public ServerEndpoint listen(
            InetSocketAddress at, int maxConnections, Supplier<? extends MessageLink.Handler> handlers) {
        throw new UnsupportedOperationException("observed transports do not accept connections");
    }

    /** Whether a connection to that address is open. */
    boolean isOpen(InetSocketAddress to) {
        return links.stream().anyMatch(link -> link.to.equals(to) && link.isOpen());
    }

    /**
     * Whether both sides of each connection have handled all messages that the other side sent, both or neither have
     * closed it, and no connection is being opened.
     */
    boolean isSettled(List<FakeControlPlane> controlPlanes) {
        Map<InetSocketAddress, Integer> sessionCounts = new HashMap<>();
        for (ObservedLink link : links) {
            if (link.isConnecting()) {
                return false;
            }
            if (link.opened) {
                int index = sessionCounts.merge(link.to, 1, Integer::sum) - 1;
                if (!isSettled(link, index, controlPlanes)) {
                    return false;
                }
            }
        }
        return true;
    }

    /** There is one connection to an address at a time, so its sessions are in the order of the connections. */
    private static boolean isSettled(ObservedLink link, int index, List<FakeControlPlane> controlPlanes) {
        for (FakeControlPlane controlPlane : controlPlanes) {
            if (controlPlane.socketAddress().equals(link.to)) {
                FakeControlPlane.Session session = controlPlane.acceptedSession(index);
                return session != null && isSettled(link, session);
            }
        }
        return true; // not a control plane
    }

    private static boolean isSettled(ObservedLink link, FakeControlPlane.Session session) {
        if (link.isClosed() || session.isClosed()) {
            return link.isClosed() && session.isClosed();
        }
        return session.receivedCount() == link.sentCount && link.receivedCount == session.sentCount();
    }

    /** One connection, which forwards its events to the handler. */
    private static final class ObservedLink implements MessageLink, MessageLink.Handler {
        private final InetSocketAddress to;
        private final Handler handler;
        private MessageLink connection;
        private boolean opened;
        private long sentCount;
        private long receivedCount;

        ObservedLink(InetSocketAddress to, Handler handler) {
            this.to = to;
            this.handler = handler;
        }

        boolean isConnecting() {
            return !isOpen() && !isClosed();
        }

        @Override
        public void opened(MessageLink established) {
            opened = true;
            handler.opened(this);
        }

        @Override
        public void received(MessageLink from, Object message) {
            handler.received(this, message);
            receivedCount++;
        }

        @Override
        public void closed(MessageLink ended) {
            handler.closed(this);
        }

        @Override
        public void send(Object message) {
            if (isOpen()) {
                sentCount++;
            }
            connection.send(message);
        }

        @Override
        public boolean isOpen() {
            return connection.isOpen();
        }

        @Override
        public boolean isClosed() {
            return connection.isClosed();
        }

        @Override
        public void close() {
            connection.close();
        }
    }
}
