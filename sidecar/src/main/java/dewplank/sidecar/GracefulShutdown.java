package dewplank.sidecar;

import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Drains a sidecar: it continues to serve for a limited time, then closes the listener and the idle connections, and
 * waits for the remaining requests.
 *
 * <p>{@link #run} is called once, on a thread other than the event loop's, and blocks that thread. The private methods
 * run on the event loop's thread.
 */
final class GracefulShutdown {
    private static final System.Logger LOG = System.getLogger(GracefulShutdown.class.getName());
    private static final double POLL_INTERVAL_MS = 10;
    /** How long a request that is partially read when the listener closes may take to become complete. */
    private static final double MAX_READ_AFTER_CLOSE_MS = 500;
    /** Time after {@code completeByMs} at which the shutdown stops waiting. A graceful close takes at most 1 s. */
    private static final double TIMEOUT_MARGIN_MS = 1_500;

    private final EventLoop loop;
    private final BalancerHost host;
    private final ClientConnections clients;
    private final Listener listener;
    private final CountDownLatch started = new CountDownLatch(1);
    private final CountDownLatch drained = new CountDownLatch(1);

    GracefulShutdown(EventLoop loop, BalancerHost host, ClientConnections clients, Listener listener) {
        this.loop = loop;
        this.host = host;
        this.clients = clients;
        this.listener = listener;
    }

    /** Returns when all connections are closed, or 1.5 s after {@code completeByMs} with a warning in the log. */
    void run(DrainSchedule schedule) throws InterruptedException {
        loop.execute(() -> start(schedule));
        double maxWaitMs = schedule.completeByMs() + TIMEOUT_MARGIN_MS;
        if (!drained.await((long) maxWaitMs, TimeUnit.MILLISECONDS)) {
            LOG.log(System.Logger.Level.WARNING, "drain timed out waitedMs={0}", Long.toString((long) maxWaitMs));
        }
    }

    /** Returns once {@link #run} has been called and the loop has started to drain. */
    void awaitStarted() throws InterruptedException {
        started.await();
    }

    private void start(DrainSchedule schedule) {
        LOG.log(System.Logger.Level.INFO, "drain started openRequests={0}", Integer.toString(host.openRequestCount()));
        clients.startDraining();
        host.completeAllBy(loop.now() + schedule.completeByMs());
        double untilMs = loop.now() + schedule.acceptForMs();
        loop.after(
                Math.min(DrainSchedule.MIN_ACCEPT_AFTER_TERM_MS, schedule.acceptForMs()),
                () -> serveUntil(untilMs, (schedule.completeByMs() - schedule.acceptForMs()) / 2));
        started.countDown();
    }

    /** Serves until this time or until no client is connected, then closes the listener. */
    private void serveUntil(double untilMs, double maxReadMs) {
        if (loop.now() < untilMs && !clients.isEmpty()) {
            loop.after(POLL_INTERVAL_MS, () -> serveUntil(untilMs, maxReadMs));
            return;
        }
        clients.startClosing();
        listener.close();
        closeWhenIdle(loop.now() + Math.min(MAX_READ_AFTER_CLOSE_MS, maxReadMs));
    }

    private void closeWhenIdle(double readUntilMs) {
        clients.closeIdle(loop.now() >= readUntilMs);
        // Also waits for closing connections: an exit of the process would reset one that has received further bytes.
        if (clients.isEmpty() && host.openRequestCount() == 0 && !listener.hasOpenConnections()) {
            host.close();
            LOG.log(System.Logger.Level.INFO, "drained");
            loop.after(POLL_INTERVAL_MS, drained::countDown); // leaves time to send the last responses
        } else {
            loop.after(POLL_INTERVAL_MS, () -> closeWhenIdle(readUntilMs));
        }
    }
}
