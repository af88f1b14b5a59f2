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
 * <p>Its clock counts milliseconds, starts at the Unix time and never goes back. An exception of a task is logged and
 * ends that task only. {@link #execute} and {@link #stop} may be called from any thread, the rest on the loop's thread
 * unless said otherwise.
 */
public final class EventLoop implements Scheduler {
    private static final System.Logger LOG = System.getLogger(EventLoop.class.getName());
    private static final long TICK_MS = 5;
    private static final long STOP_TIMEOUT_MS = 1_000;
    private static final int DISCARD_BUFFER_BYTES = 256 * 1024;
    private static final int MAX_READ_AHEAD_BUFFERS = 50; // 4 MiB together, a sixteenth of the heap

    private final ScheduledThreadPoolExecutor executor;
    private final AsynchronousChannelGroup group;
    private final double unixAtStart = System.currentTimeMillis();
    private final long nanosAtStart = System.nanoTime();
    private final TimerWheel wheel = new TimerWheel(now(), TICK_MS);
    private final ByteBuffer discardBuffer = ByteBuffer.allocateDirect(DISCARD_BUFFER_BYTES);
    private final WriteBudget writeBudget;
    private volatile Thread thread;
    private volatile boolean isStopping;
    private int readAheadBuffers;

    /** Starts the thread, with bounds of queued bytes that suit the heap. */
    public EventLoop() throws IOException {
        this(new WriteBudget());
    }

    EventLoop(WriteBudget writeBudget) throws IOException {
        this.writeBudget = writeBudget;
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

    /** Stops exceptions here: the executor never runs a periodic task again that threw. */
    private void runGuarded(Runnable task) {
        try {
            if (!isStopping) {
                task.run();
            }
        } catch (RuntimeException | StackOverflowError | LinkageError e) {
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
     * Runs the task after {@code ms} milliseconds, as exactly as the system's clock allows instead of at a tick. It
     * cannot be cancelled and costs more than {@link #after}: for load tools and emulators, not for a proxy.
     */
    public void afterExactly(double ms, Runnable task) {
        executor.schedule(() -> runGuarded(task), (long) (ms * 1e6), TimeUnit.NANOSECONDS);
    }

    /** Runs the task on the loop's thread, soon. Any thread may call it. */
    @Override
    public void execute(Runnable task) {
        executor.execute(() -> runGuarded(task));
    }

    /** Whether the caller runs on the loop's thread. Any thread may call it. */
    public boolean isLoopThread() {
        return Thread.currentThread() == thread;
    }

    /** Buffer for input that is discarded: large, so that a peer which never stops sending costs few reads. */
    ByteBuffer discardBuffer() {
        return discardBuffer.duplicate();
    }

    /** Reserves one of the read-ahead buffers; false when all are in use. */
    boolean acquireReadAhead() {
        if (readAheadBuffers == MAX_READ_AHEAD_BUFFERS) {
            return false;
        }
        readAheadBuffers++;
        return true;
    }

    /** Returns a reserved read-ahead buffer. */
    void releaseReadAhead() {
        readAheadBuffers--;
    }

    /** Bounds what connections queue for peers that do not read. */
    WriteBudget writeBudget() {
        return writeBudget;
    }

    AsynchronousChannelGroup group() {
        return group;
    }

    /**
     * Closes every channel and ends the thread; callbacks caused by the closing are dropped. Any thread may call it.
     */
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
