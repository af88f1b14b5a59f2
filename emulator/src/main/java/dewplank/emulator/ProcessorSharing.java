package dewplank.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The cores of a server, shared equally by its running jobs; no job uses more than one core.
 *
 * <p>Attained service V is the work done for each running job so far; a job that came at V with work w is done at V + w
 * (Kleinrock, Queueing Systems II, 4.4). So one number moves, however many jobs there are.
 */
final class ProcessorSharing {
    /** The speed of a cold server changes all the time: it is taken as constant for at most so long. */
    private static final double COLD_STEP_MS = 50;
    /** Work below which a job counts as done: what rounding leaves. */
    private static final double ROUNDING_WORK = 1e-6;
    /** A paused server with a pause that ends now is looked at again after so long. */
    private static final double MIN_PAUSE_MS = 0.1;

    private final World world;
    private final int cores;
    private final ServerSpeed speed;
    private final Runnable onProgress;
    private final PriorityQueue<ServerJob> running = new PriorityQueue<>();
    private double attainedWork;
    private double updatedAtMs;
    private double workPerMs;
    private long arrivals;
    private long planNumber;

    /** {@code onProgress} runs when a job may be done, or the speed has to be looked at again. */
    ProcessorSharing(World world, int cores, ServerSpeed speed, Runnable onProgress) {
        this.world = world;
        this.cores = cores;
        this.speed = speed;
        this.onProgress = onProgress;
    }

    int runningJobs() {
        return running.size();
    }

    /** Work of the running jobs that is not done at this moment. */
    double remainingWork() {
        double attained = attainedWork + (world.now() - updatedAtMs) * workPerMs;
        double sum = 0;
        for (ServerJob job : running) {
            sum += Math.max(0, job.remainingWork(attained));
        }
        return sum;
    }

    /** Moves the attained service on to now, at the speed that was planned. */
    void update() {
        double now = world.now();
        if (!running.isEmpty() && now > updatedAtMs) {
            attainedWork += (now - updatedAtMs) * workPerMs;
        }
        updatedAtMs = now;
    }

    /** Starts a job. The attained service must be up to date; {@link #plan} must follow. */
    void start(ServerJob job) {
        job.start(attainedWork, arrivals++);
        running.add(job);
    }

    /** Work that is done beside the running jobs, such as a handshake's, and delays them all. */
    void delayBy(double work) {
        update();
        if (!running.isEmpty()) {
            attainedWork -= work / running.size();
            plan();
        }
    }

    boolean hasFinishedJob() {
        return !running.isEmpty() && running.peek().remainingWork(attainedWork) <= ROUNDING_WORK;
    }

    ServerJob removeFinishedJob() {
        return running.poll();
    }

    /** Plans the next progress from the present speed and jobs; the plan before is void. */
    void plan() {
        update();
        long plan = ++planNumber;
        if (running.isEmpty()) {
            return;
        }
        workPerMs = speed.workPerCoreMs() * Math.min(1, (double) cores / running.size());
        double nextMs = workPerMs <= 0
                ? Math.max(MIN_PAUSE_MS, speed.pausedUntilMs() - world.now())
                : running.peek().remainingWork(attainedWork) / workPerMs;
        world.schedule(speed.isWarm() ? nextMs : Math.min(nextMs, COLD_STEP_MS), () -> {
            if (plan == planNumber) {
                onProgress.run();
            }
        });
    }

    /** Removes all jobs, in the order in which they would have been done. */
    List<ServerJob> removeAll() {
        update();
        planNumber++;
        List<ServerJob> removed = new ArrayList<>(running);
        removed.sort(null);
        running.clear();
        return removed;
    }
}
