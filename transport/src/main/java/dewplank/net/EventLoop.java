package dewplank.net;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.AsynchronousChannelGroup;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The single thread that owns the state of a process: completion handlers, timers and submitted tasks run there, one at
 * a time.
 *
 * <p>The clock is in milliseconds, starts at the current Unix time and never goes back. If a task throws an exception,
 * the exception is logged and only that task ends. {@link #execute} and {@link #stop} may be called from any thread;
 * the other methods must be called on the loop's thread unless documented otherwise.
 */
public final class EventLoop implements Scheduler {
    private static final System.Logger LOG = System.getLogger(EventLoop.class.getName());
    private static final long TICK_MS = 5;
    private static final long STOP_TIMEOUT_MS = 1_000;
    private static final int DISCARD_BUFFER_BYTES = 256 * 1024;
    /** Read-ahead buffers take at most the heap divided by this. */
    private static final int READ_AHEAD_HEAP_DIVISOR = 24;

    private final ScheduledThreadPoolExecutor executor;
    private final AsynchronousChannelGroup group;
    private final double unixAtStart = System.currentTimeMillis();
    private final long nanosAtStart = System.nanoTime();
    private final TimerWheel wheel = new TimerWheel(now(), TICK_MS);
    private final ByteBuffer discardBuffer = ByteBuffer.allocateDirect(DISCARD_BUFFER_BYTES);
    private final WriteBudget writeBudget;
    private final ReceiveBudget receiveBudget;
    private volatile Thread thread;
    private volatile boolean isStopping;
    private final long maxReadAheadBuffers =
            Runtime.getRuntime().maxMemory() / READ_AHEAD_HEAP_DIVISOR / InputBuffer.MAX_READ_AHEAD_BYTES;
    private int readAheadBuffersInUse;

    /** Starts the thread, with limits on queued bytes that depend on the heap size. */
    public EventLoop() throws IOException {
        this(new WriteBudget(), new ReceiveBudget());
    }

    EventLoop(WriteBudget writeBudget) throws IOException {
        this(writeBudget, new ReceiveBudget());
    }

    private EventLoop(WriteBudget writeBudget, ReceiveBudget receiveBudget) throws IOException {
        this.writeBudget = writeBudget;
        this.receiveBudget = receiveBudget;
        executor = new ScheduledThreadPoolExecutor(1, task -> {
            thread = new Thread(task, "loop");
            thread.setDaemon(true); // the process must exit if its main thread fails
            return thread;
        });
        group = AsynchronousChannelGroup.withThreadPool(executor);
        executor.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        wheel.run(now(), this::runGuarded);
    }

    /**
     * Catches everything: the executor does not repeat a periodic task that has thrown, so that a process would go on
     * without timers. An exhausted heap ends the process by a JVM flag instead.
     */
    private void runGuarded(Runnable task) {
        try {
            if (!isStopping) {
                task.run();
            }
        } catch (Throwable e) {
            LOG.log(System.Logger.Level.ERROR, "task failed", e);
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
     * Runs the task after {@code ms} milliseconds, with the precision of the system's clock instead of a tick. The task
     * cannot be cancelled, and the cost is higher than that of {@link #after}: for load tools and emulators, not for a
     * proxy.
     */
    public void afterExactly(double ms, Runnable task) {
        executor.schedule(() -> runGuarded(task), (long) (ms * 1e6), TimeUnit.NANOSECONDS);
    }

    /** Queues the task to run on the loop's thread. May be called from any thread. */
    @Override
    public void execute(Runnable task) {
        executor.execute(() -> runGuarded(task));
    }

    /** Whether the current thread is the loop's thread. May be called from any thread. */
    public boolean isLoopThread() {
        return Thread.currentThread() == thread;
    }

    /** Buffer for discarded input; large, so that a peer that sends continuously causes few reads. */
    ByteBuffer discardBuffer() {
        return discardBuffer.duplicate();
    }

    /** Reserves a read-ahead buffer; returns false if all are in use. */
    boolean acquireReadAhead() {
        if (readAheadBuffersInUse >= maxReadAheadBuffers) {
            return false;
        }
        readAheadBuffersInUse++;
        return true;
    }

    /** Releases a reserved read-ahead buffer. */
    void releaseReadAhead() {
        readAheadBuffersInUse--;
    }

    /** The limits on bytes that connections queue for peers that do not read. */
    WriteBudget writeBudget() {
        return writeBudget;
    }

    /** The limit on bytes that connections hold of messages from peers. */
    public ReceiveBudget receiveBudget() {
        return receiveBudget;
    }

    AsynchronousChannelGroup group() {
        return group;
    }

    /** Closes all channels and stops the thread; resulting callbacks are discarded. May be called from any thread. */
    public void stop() {
        isStopping = true;
        try {
            group.shutdownNow();
            group.awaitTermination(STOP_TIMEOUT_MS, TimeUnit.MILLISECONDS);
        } catch (IOException e) {
            LOG.log(System.Logger.Level.WARNING, "channel group did not close cause={0}", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        executor.shutdownNow();
    }

    boolean isStopping() {
        return isStopping;
    }
}
