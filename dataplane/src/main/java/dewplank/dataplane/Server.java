package dewplank.dataplane;

import dewplank.exchange.ConnectionPool;
import dewplank.net.Scheduler;
import dewplank.routing.TrackedServer;
import java.net.InetSocketAddress;

/** A server of the endpoint list: its state for load balancing, its address, and its idle connections. */
final class Server {
    /** Idle connections are closed after this time, because they count towards the server's connection limit. */
    private static final double MAX_IDLE_MS = 10_000;

    final TrackedServer state;
    final InetSocketAddress address;
    /** IP:PORT, as in the endpoint list. */
    final String addressText;

    final ConnectionPool pool;

    Server(Scheduler loop, TrackedServer state, String addressText) {
        this.state = state;
        this.addressText = addressText;
        this.address = SocketAddresses.parse(addressText);
        this.pool = new ConnectionPool(loop, ConnectionPool.REUSE_DELAY_MS, MAX_IDLE_MS);
    }
}
