package dewplank.exchange;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A port of the loopback address that refuses connections, and that nobody else gets as long as this is open. */
public final class ReservedPort implements Closeable {
    private static final int BACKLOG = 5;

    /** Bound, but neither connected nor listening. */
    private final Socket socket = new Socket();

    public ReservedPort() throws IOException {
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    /** The address as the fleet writes it. */
    public String addressText() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** From now on connections are taken. */
    public ServerSocket listen() throws IOException {
        ServerSocket listener = new ServerSocket();
        listener.setReuseAddress(true);
        listener.bind(address(), BACKLOG);
        return listener;
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
