package dewplank.simulation;

import dewplank.store.DiskExecutor;
import dewplank.store.DiskResult;
import dewplank.store.SingleThreadDiskExecutor;
import dewplank.store.StoreException;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.function.Consumer;

/** A process's work on its disk: one piece after the other, each as slow as the disk is. */
final class SimulatedDiskExecutor implements DiskExecutor {
    private static final double SYNC_MS = 1;
    private static final double MAX_EXTRA_MS = 2;
    private static final int MAX_WRITES_DONE = 6;

    private record Submission(Task task, Consumer<DiskResult> completion) {}

    private final VirtualTime time;
    private final ProcessIncarnation incarnation;
    private final SimulatedDisk disk;
    private final DiskFaults faults;
    private final SplittableRandom random;
    private final Deque<Submission> waiting = new ArrayDeque<>();
    private Submission active;
    private boolean closed;

    /** How slow a machine's disk is. */
    static final class DiskFaults {
        double slowerBy;
        double stalledUntil;
        /** Tasks that failed. */
        int failed;
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
        next();
    }

    private void next() {
        if (active != null || waiting.isEmpty()) {
            return;
        }
        active = waiting.poll();
        time.after(SYNC_MS + random.nextDouble() * MAX_EXTRA_MS + faults.slowerBy, this::perform);
    }

    private void perform() {
        if (incarnation.isOver()) {
            return;
        }
        if (faults.stalledUntil > time.now()) {
            time.at(faults.stalledUntil, this::perform);
        } else {
            incarnation.run(this::work);
        }
    }

    private void work() {
        Submission finished = active;
        active = null;
        DiskResult result = perform(finished.task);
        faults.failed += result.isSuccess() ? 0 : 1;
        incarnation.execute(() -> finished.completion.accept(result));
        next();
    }

    private static DiskResult perform(Task task) {
        try {
            task.run();
            return DiskResult.Succeeded.INSTANCE;
        } catch (StoreException failure) {
            return new DiskResult.Failed(failure);
        }
    }

    /** The process dies: the work under way is not begun, or done in part, or done and never told of. */
    void die() {
        if (active != null && random.nextBoolean()) {
            disk.dieAfterWrites(1 + random.nextInt(MAX_WRITES_DONE));
            try {
                active.task.run();
            } catch (StoreException cutShort) {
                // As far as it came.
            }
        }
        disk.reopen();
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
