package dewplank.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The one thread that owns all state: completion handlers, timers and whatever else is to touch it run there.
 * Its clock counts milliseconds, starts at the Unix time and never goes back.
 */
public final class EventLoop implements Scheduler {
    private static final System.Logger LOG = System.getLogger(EventLoop.class.getName());
    private static final long TICK_MS = 5;
    private static final long STOP_TIMEOUT_MS = 1_000;
    private static final int DISCARD_BUFFER_BYTES = 256 * 1024;
    private static final int MAX_READ_AHEAD_BUFFERS =
            50; // buffers for bytes sent ahead: 4 MiB, a sixteenth of the heap

    private final ScheduledThreadPoolExecutor executor;
    private final AsynchronousChannelGroup group;
    private final double unixAtStart = System.currentTimeMillis();
    private final long nanosAtStart = System.nanoTime();
    private final TimerWheel wheel = new TimerWheel(now(), TICK_MS);
    private final ByteBuffer discardBuffer = ByteBuffer.allocateDirect(DISCARD_BUFFER_BYTES);
    private volatile Thread thread;
    private volatile boolean isStopping;
    private int readAheadBuffers;

    public EventLoop() throws IOException {
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            thread = new Thread(task, "loop");
            thread.setDaemon(true); // a program whose main thread fails must end, not linger without it
            return thread;
        });
        group = AsynchronousChannelGroup.withThreadPool(executor);
        executor.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        wheel.run(now(), this::runGuarded);
    }

    /** An exception ends neither the loop nor the ticks: a scheduled task that throws is never run again. */
    private void runGuarded(Runnable task) {
        try {
            if (!isStopping) {
                task.run();
            }
        } catch (RuntimeException | StackOverflowError | LinkageError e) {
            LOG.log(System.Logger.Level.ERROR, "a task failed", e);
        }
    }

    @Override
    public double now() {
        return unixAtStart + (System.nanoTime() - nanosAtStart) / 1e6;
    }

    @Override
    public TimerWheel.Timer after(double ms, Runnable task) {
        return wheel.add(now() + ms, task);
    }

    /**
     * Runs the task after so long, as exactly as the system's clock allows, instead of at a tick. It can't be cancelled
     * and costs more than {@link #after}: for load tools and emulators, not for a sidecar.
     */
    public void afterExactly(double ms, Runnable task) {
        executor.schedule(() -> runGuarded(task), (long) (ms * 1e6), TimeUnit.NANOSECONDS);
    }

    /** Runs the task on the loop's thread, soon. */
    @Override
    public void execute(Runnable task) {
        executor.execute(() -> runGuarded(task));
    }

    public boolean isLoopThread() {
        return Thread.currentThread() == thread;
    }

    /** Where bytes go that nobody will look at: large, so that a peer which never stops sending costs little. */
    ByteBuffer discardBuffer() {
        return discardBuffer.duplicate();
    }

    /** Whether one more connection may have a buffer for what its peer sends ahead; on this thread only. */
    boolean acquireReadAhead() {
        if (readAheadBuffers == MAX_READ_AHEAD_BUFFERS) {
            return false;
        }
        readAheadBuffers++;
        return true;
    }

    void releaseReadAhead() {
        readAheadBuffers--;
    }

    AsynchronousChannelGroup group() {
        return group;
    }

    /** Closes every channel and ends the thread. What the closing stirs up is not looked at any more. */
    public void stop() {
        isStopping = true;
        try {
            group.shutdownNow();
            group.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "the channel group did not close: {0}", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        executor.shutdownNow();
    }

    boolean isStopping() {
        return isStopping;
    }
}
