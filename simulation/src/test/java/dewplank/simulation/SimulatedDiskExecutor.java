package dewplank.simulation;

import dewplank.store.DiskExecutor;
import dewplank.store.DiskResult;
import dewplank.store.SingleThreadDiskExecutor;
import dewplank.store.StoreException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** Runs the disk tasks of a process one after the other, with the latency of the disk. */
final class SimulatedDiskExecutor implements DiskExecutor {
    private static final double MIN_LATENCY_MS = 1;
    private static final double MAX_EXTRA_LATENCY_MS = 2;
    private static final int MAX_WRITES_BEFORE_ABORT = 6;

    private record Submission(Task task, Consumer<DiskResult> completion) {}

    private final VirtualTime time;
    private final ProcessIncarnation incarnation;
    private final SimulatedDisk disk;
    private final DiskFaults faults;
    private final SplittableRandom random;
    private final Deque<Submission> waiting = new ArrayDeque<>();
    private Submission active;
    private boolean closed;

    /** The current faults of a machine's disk. */
    static final class DiskFaults {
        double extraLatencyMs;
        double stalledUntilMs;
        /** The number of failed tasks. */
        int failedTasks;
    }

    SimulatedDiskExecutor(
            VirtualTime time,
            ProcessIncarnation incarnation,
            SimulatedDisk disk,
            DiskFaults faults,
            SplittableRandom random) {
        this.time = time;
        this.incarnation = incarnation;
        this.disk = disk;
        this.faults = faults;
        this.random = random;
    }

    @Override
    public void submit(Task task, Consumer<DiskResult> completion) {
        if (closed || waiting.size() >= SingleThreadDiskExecutor.MAX_QUEUED_TASKS) {
            incarnation.execute(() -> completion.accept(DiskResult.Rejected.INSTANCE));
            return;
        }
        waiting.add(new Submission(task, completion));
        startNext();
    }

    private void startNext() {
        if (active != null || waiting.isEmpty()) {
            return;
        }
        active = waiting.poll();
        time.after(
                MIN_LATENCY_MS + random.nextDouble() * MAX_EXTRA_LATENCY_MS + faults.extraLatencyMs,
                this::runUnlessStalled);
    }

    private void runUnlessStalled() {
        if (incarnation.hasEnded()) {
            return;
        }
        if (faults.stalledUntilMs > time.now()) {
            time.at(faults.stalledUntilMs, this::runUnlessStalled);
        } else {
            incarnation.deliver(this::runActive);
        }
    }

    private void runActive() {
        Submission submission = active;
        active = null;
        DiskResult result = execute(submission.task);
        faults.failedTasks += result.isSuccess() ? 0 : 1;
        incarnation.execute(() -> submission.completion.accept(result));
        startNext();
    }

    private static DiskResult execute(Task task) {
        try {
            task.run();
            return DiskResult.Succeeded.INSTANCE;
        } catch (StoreException failure) {
            return new DiskResult.Failed(failure);
        }
    }

    /**
     * Aborts the tasks when the process is terminated: the active task is not started, is partly executed, or is
     * executed without a reported result.
     */
    void abort() {
        if (active != null && random.nextBoolean()) {
            disk.failAfterWrites(1 + random.nextInt(MAX_WRITES_BEFORE_ABORT));
            try {
                active.task.run();
            } catch (StoreException expected) {
                // The writes before the failure remain.
            }
        }
        disk.allowWrites();
        active = null;
        waiting.clear();
        closed = true;
    }

    @Override
    public void close() {
        closed = true;
        waiting.clear();
    }
}
