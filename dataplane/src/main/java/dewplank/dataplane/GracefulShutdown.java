package dewplank.dataplane;

import dewplank.net.EventLoop;
import dewplank.net.Listener;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Drains a data plane on SIGTERM: serves on until the platform sends nobody new, answers what is open, and ends. {@link
 * #run} is called once, by the thread of the signal; all else happens on the event loop's thread.
 */
final class GracefulShutdown {
    private static final Logger LOG = LoggerFactory.getLogger(GracefulShutdown.class);
    private static final double POLL_INTERVAL_MS = 20;
    /** After the end of accepting, for requests that are on their way on connections that are open. */
    private static final double READ_ON_MS = 400;

    private final EventLoop loop;
    private final Forwarder forwarder;
    private final Listener front;
    private final DrainSchedule schedule;
    private final Runnable closePeerConnections;
    private final CountDownLatch drained = new CountDownLatch(1);
    private boolean started;

    /**
     * @param closePeerConnections runs once nothing is open any more
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

    /** Whether draining has begun. On the event loop's thread only. */
    boolean isStarted() {
        return started;
    }

    /** Blocks until everything is answered and closed, or the time is over. */
    void run() throws InterruptedException {
        loop.execute(this::start);
        if (!drained.await((long) schedule.terminateMs(), TimeUnit.MILLISECONDS)) {
            loop.execute(() -> {
                LOG.warn("drain timeout openRequests={}", forwarder.openRequests());
                forwarder.terminateAll();
            });
            drained.await((long) DrainSchedule.lastAnswersMs(), TimeUnit.MILLISECONDS);
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
        endWhenIdle(loop.now() + READ_ON_MS);
    }

    private void endWhenIdle(double readUntil) {
        boolean unread = loop.now() >= readUntil;
        forwarder.connections().forEach(c -> c.endIfIdle(unread));
        if (forwarder.openConnections() == 0 && forwarder.openRequests() == 0 && !front.hasOpenConnections()) {
            closePeerConnections.run();
            LOG.info("drained");
            loop.after(POLL_INTERVAL_MS, drained::countDown);
        } else {
            loop.after(POLL_INTERVAL_MS, () -> endWhenIdle(readUntil));
        }
    }
}
