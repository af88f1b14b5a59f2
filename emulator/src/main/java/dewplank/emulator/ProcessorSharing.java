package dewplank.emulator;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;

/**
 * The cores of a server, shared equally by its running jobs; no job uses more than one core.
 *
 * <p>The attained service V is the work done for each running job so far; a job that starts at V with work w is done at
 * V + w (Kleinrock, Queueing Systems II, 4.4). A single value therefore tracks the progress of all jobs.
 */
final class ProcessorSharing {
    /** Longest interval over which the continuously changing speed of a cold server is treated as constant. */
    private static final double COLD_SPEED_INTERVAL_MS = 50;
    /** Tolerance for rounding errors: a job with this much remaining work is done. */
    private static final double ROUNDING_WORK = 1e-6;
    /** Shortest delay until the speed of a paused server is evaluated again. */
    private static final double MIN_PAUSE_CHECK_MS = 0.1;

    private final EmulatedEnvironment environment;
    private final int cores;
    private final ServerSpeed speed;
    private final Runnable onProgress;
    private final PriorityQueue<ServerJob> running = new PriorityQueue<>();
    private double attainedWork;
    private double updatedAtMs;
    private double workPerMs;
    private long arrivals;
    private long planNumber;

    /** {@code onProgress} runs when a job may be done or the speed must be evaluated again. */
    ProcessorSharing(EmulatedEnvironment environment, int cores, ServerSpeed speed, Runnable onProgress) {
        this.environment = environment;
        this.cores = cores;
        this.speed = speed;
        this.onProgress = onProgress;
    }

    int runningJobs() {
        return running.size();
    }

    /** Remaining work of the running jobs at the current time. */
    double remainingWork() {
        double attained = attainedWork + (environment.now() - updatedAtMs) * workPerMs;
        double sum = 0;
        for (ServerJob job : running) {
            sum += Math.max(0, job.remainingWork(attained));
        }
        return sum;
    }

    /** Advances the attained service to the current time, at the planned speed. */
    void update() {
        double now = environment.now();
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

    /** Accounts for work outside the running jobs, such as a handshake, which delays them all. */
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

    /** Schedules the next progress from the current speed and jobs, and invalidates the previous schedule. */
    void plan() {
        update();
        long plan = ++planNumber;
        if (running.isEmpty()) {
            return;
        }
        workPerMs = speed.workPerCoreMs() * Math.min(1, (double) cores / running.size());
        double nextMs = workPerMs <= 0
                ? Math.max(MIN_PAUSE_CHECK_MS, speed.pausedUntilMs() - environment.now())
                : running.peek().remainingWork(attainedWork) / workPerMs;
        environment.schedule(speed.isWarm() ? nextMs : Math.min(nextMs, COLD_SPEED_INTERVAL_MS), () -> {
            if (plan == planNumber) {
                onProgress.run();
            }
        });
    }

    /** Removes all jobs, in the order in which they would have completed. */
    List<ServerJob> removeAll() {
        update();
        planNumber++;
        List<ServerJob> removed = new ArrayList<>(running);
        removed.sort(null);
        running.clear();
        return removed;
    }
}
