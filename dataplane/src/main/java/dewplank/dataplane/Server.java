package dewplank.dataplane;

import dewplank.exchange.ConnectionPool;
import dewplank.net.Scheduler;
import dewplank.routing.TrackedServer;
import java.net.InetSocketAddress;

/** A server of the endpoint list: its state for picks, its address, and the idle connections to it. */
final class Server {
    /** Idle connections are closed after this in any case: they count against the server's bound. */
    private static final double MAX_IDLE_MS = 10_000;

    final TrackedServer state;
    final InetSocketAddress address;
    /** IP:PORT, as the list names it. */
    final String addressText;

    final ConnectionPool pool;

    Server(Scheduler loop, TrackedServer state, String addressText) {
        this.state = state;
        this.addressText = addressText;
        this.address = SocketAddresses.parse(addressText);
        this.pool = new ConnectionPool(loop, ConnectionPool.REUSE_DELAY_MS, MAX_IDLE_MS);
    }
}
