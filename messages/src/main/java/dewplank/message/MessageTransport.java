package dewplank.message;

import dewplank.net.ServerEndpoint;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Supplier;

/** Opens and accepts the connections that carry messages between the system's processes. */
public interface MessageTransport {
    /** Opens a connection within so many milliseconds. */
    MessageLink open(InetSocketAddress to, double timeoutMs, MessageLink.Handler handler);

    /**
     * Binds to an address.
     *
     * @param most the connections open at once; further ones wait
     * @param handlers gives the handler of each connection that is accepted
     */
    ServerEndpoint listen(InetSocketAddress at, int most, Supplier<? extends MessageLink.Handler> handlers)
            throws IOException;
}
