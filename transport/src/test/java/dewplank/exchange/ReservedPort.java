package dewplank.exchange;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;

/** A loopback port that refuses connections, and that no other socket can bind while it is reserved. */
public final class ReservedPort implements Closeable {
    private static final int BACKLOG = 5;

    /** Bound, but not connected and not listening. */
    private final Socket socket = new Socket();

    public ReservedPort() throws IOException {
        socket.setReuseAddress(true);
        socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
    }

    public InetSocketAddress address() {
        return (InetSocketAddress) socket.getLocalSocketAddress();
    }

    /** The address in the fleet's format. */
    public String addressText() {
        return "127.0.0.1:" + socket.getLocalPort();
    }

    /** Starts to listen on the port and returns the socket. */
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
