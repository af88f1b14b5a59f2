package dewplank.sidecar;

import dewplank.exchange.ConnectionPool;
import dewplank.net.EventLoop;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * The connections to servers: a pool of idle ones per server, and a common limit on idle and busy ones.
 *
 * <p>{@link AttemptDispatcher} and {@link BalancerHost} call it. All methods run on the event loop's thread.
 */
final class ServerConnections {
    private static final System.Logger LOG = System.getLogger(ServerConnections.class.getName());
    private static final double SWEEP_INTERVAL_MS = 1_000;
    private static final double LIMIT_LOG_INTERVAL_MS = 1_000;
    /**
     * The fraction of the server's idle timeout after which the sidecar closes a connection. A request that is sent
     * while the server closes the connection would be reset.
     */
    private static final double IDLE_TIMEOUT_FRACTION = 0.9;

    private final EventLoop loop;
    private final double maxIdleMs;
    private final int maxConnections;
    private final Map<String, ConnectionPool> poolByServer = new HashMap<>();
    private int attemptsInFlight;
    private double limitLoggedAtMs;

    /**
     * @param serverIdleTimeoutMs the time after which servers close an idle connection; 0 if they never do
     * @param maxConnections the limit on idle and busy connections together
     */
    ServerConnections(EventLoop loop, double serverIdleTimeoutMs, int maxConnections) {
        this.loop = loop;
        this.maxIdleMs =
                serverIdleTimeoutMs > 0 ? IDLE_TIMEOUT_FRACTION * serverIdleTimeoutMs : Double.POSITIVE_INFINITY;
        this.maxConnections = maxConnections;
    }

    /** Starts the sweep that closes connections that have been idle for too long. */
    void start() {
        loop.after(SWEEP_INTERVAL_MS, this::sweep);
    }

    /** Returns the pool of this server, which is created at the first call. */
    ConnectionPool poolOf(String server) {
        return poolByServer.computeIfAbsent(
                server, id -> new ConnectionPool(loop, ConnectionPool.REUSE_DELAY_MS, maxIdleMs));
    }

    /**
     * Ensures that one more attempt may open a connection. At the limit, closes the longest idle connection in one of
     * the pools.
     *
     * @return false if all connections are busy; the attempt must not start then
     */
    boolean ensureCapacity() {
        int idle = poolByServer.values().stream().mapToInt(ConnectionPool::size).sum();
        if (attemptsInFlight + idle < maxConnections) {
            return true;
        }
        if (loop.now() - limitLoggedAtMs > LIMIT_LOG_INTERVAL_MS) { // a log line per attempt would increase the load
            limitLoggedAtMs = loop.now();
            LOG.log(
                    System.Logger.Level.WARNING,
                    "server connection limit reached maxConnections={0}",
                    Integer.toString(maxConnections));
        }
        return poolByServer.values().stream().anyMatch(ConnectionPool::closeOldest);
    }

    /** Counts an attempt's connection as busy, until {@link #attemptEnded}. */
    void attemptStarted() {
        attemptsInFlight++;
    }

    void attemptEnded() {
        attemptsInFlight--;
    }

    boolean hasAttemptsInFlight() {
        return attemptsInFlight > 0;
    }

    /** Closes and removes the pools of removed servers. Servers are often replaced under new ids. */
    void closeRemoved(Predicate<String> isRemoved) {
        poolByServer.entrySet().removeIf(entry -> {
            boolean removed = isRemoved.test(entry.getKey());
            if (removed) {
                entry.getValue().close();
            }
            return removed;
        });
    }

    /** Closes idle connections before the server does. */
    private void sweep() {
        poolByServer.values().forEach(ConnectionPool::closeExpired);
        loop.after(SWEEP_INTERVAL_MS, this::sweep);
    }
}
