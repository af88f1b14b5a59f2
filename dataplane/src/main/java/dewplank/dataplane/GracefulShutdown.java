package dewplank.dataplane;

import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drains a data plane on SIGTERM: continues to serve until the platform routes no new clients to it, completes the open
 * requests, and closes all connections. {@link #run} is called once, by the thread that handles the signal; all other
 * methods run on the event loop's thread.
 */
final class GracefulShutdown {
    private static final Logger LOG = LoggerFactory.getLogger(GracefulShutdown.class);
    private static final double POLL_INTERVAL_MS = 20;
    /** After accepting has stopped, requests in transit on open connections are read for this time. */
    private static final double FINAL_READ_MS = 400;
    /** A poll that is late by more than this shows that the loop has stalled: requests may wait to be read. */
    private static final double STALL_MS = 40;
    /** Maximum number of polls after which no connection is closed because of a stall. */
    private static final int MAX_STALLED_POLLS = 40;

    private final EventLoop loop;
    private final Forwarder forwarder;
    private final Listener front;
    private final DrainSchedule schedule;
    private final Runnable closePeerConnections;
    private final CountDownLatch drained = new CountDownLatch(1);
    private boolean started;
    private int stalledPolls;

    /**
     * @param closePeerConnections runs once no request and no client connection is open
     */
    GracefulShutdown(
            EventLoop loop,
            Forwarder forwarder,
            Listener front,
            DrainSchedule schedule,
            Runnable closePeerConnections) {
        this.loop = loop;
        this.forwarder = forwarder;
        this.front = front;
        this.schedule = schedule;
        this.closePeerConnections = closePeerConnections;
    }

    /** Whether draining has started. Must be called on the event loop's thread only. */
    boolean isStarted() {
        return started;
    }

    /** Blocks until all requests are completed and all connections closed, or the time has elapsed. */
    void run() throws InterruptedException {
        loop.execute(this::start);
        if (!drained.await((long) schedule.terminateMs(), TimeUnit.MILLISECONDS)) {
            loop.execute(() -> {
                LOG.warn("drain timeout openRequests={}", forwarder.openRequests());
                forwarder.respondToAll();
            });
            drained.await((long) DrainSchedule.lastResponsesMs(), TimeUnit.MILLISECONDS);
        }
    }

    private void start() {
        LOG.info("draining openRequests={}", forwarder.openRequests());
        started = true;
        loop.after(schedule.acceptMs(), this::stopAccepting);
    }

    private void stopAccepting() {
        forwarder.close();
        front.close();
        pollAgain(loop.now() + FINAL_READ_MS);
    }

    private void pollAgain(double readUntil) {
        double dueAt = loop.now() + POLL_INTERVAL_MS;
        loop.after(POLL_INTERVAL_MS, () -> completeDrainWhenIdle(dueAt, readUntil));
    }

    /**
     * Closes idle connections, unless the loop has stalled just now: timers run before the reads that have become due
     * meanwhile, and a connection whose request has arrived but is not read yet would be closed without a response.
     */
    private void completeDrainWhenIdle(double dueAt, double readUntil) {
        if (loop.now() - dueAt > STALL_MS && stalledPolls < MAX_STALLED_POLLS) {
            stalledPolls++;
            pollAgain(readUntil);
            return;
        }
        boolean closePartlyRead = loop.now() >= readUntil;
        forwarder.connections().forEach(c -> c.closeIfIdle(closePartlyRead));
        if (forwarder.openConnections() == 0 && forwarder.openRequests() == 0 && !front.hasOpenConnections()) {
            closePeerConnections.run();
            LOG.info("drained");
            loop.after(POLL_INTERVAL_MS, drained::countDown);
        } else {
            pollAgain(readUntil);
        }
    }
}
