package dewplank.message;

import dewplank.net.ServerEndpoint;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/**
 * Opens and accepts the connections between the fleet's processes. {@link TcpTransport} is used in production;
 * simulations implement a transport in virtual time. Called on the event loop's thread.
 */
public interface MessageTransport {
    /**
     * Opens a connection.
     *
     * @param timeoutMs the time within which the connection must be established; otherwise it closes
     * @param handler receives the connection's events
     */
    MessageLink open(InetSocketAddress to, double timeoutMs, MessageLink.Handler handler);

    /**
     * Binds to an address and accepts connections.
     *
     * @param maxConnections the maximum number of open connections; further ones wait in the kernel's backlog
     * @param handlers supplies the handler of each accepted connection
     * @throws IOException if the address cannot be bound
     */
    ServerEndpoint listen(InetSocketAddress at, int maxConnections, Supplier<? extends MessageLink.Handler> handlers)
            throws IOException;
}
