package dewplank.emulator;

import dewplank.emulator.scenario.MachineType;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * The slots and the queue of a server. Jobs in slots share the cores or wait on dependencies; when all slots are taken,
 * jobs are queued in order of arrival.
 */
final class JobScheduler {
    /** Called on the scheduler thread. */
    interface Listener {
        /** A job was assigned a slot. */
        void onStarted(ServerJob job);

        /** A job completed its work and released its slot. */
        void onFinished(ServerJob job);
    }

    private final EmulatedEnvironment environment;
    private final int slots;
    private final int maxQueued;
    private final DoubleSupplier waitTimes;
    private final ServerSpeed speed;
    private final Listener listener;
    private final ProcessorSharing processors;
    private final OverloadMonitor overload;
    private final ArrayDeque<ServerJob> queue = new ArrayDeque<>();
    private final Set<ServerJob> waitingOnDependencies = new HashSet<>();

    /** {@code waitTimes}: samples with mean 1, by which a class's mean wait on dependencies is multiplied. */
    JobScheduler(
            EmulatedEnvironment environment,
            MachineType machine,
            DoubleSupplier waitTimes,
            ServerSpeed speed,
            Listener listener) {
        this.environment = environment;
        this.slots = (int) Math.max(1, Math.round(machine.cores() * machine.slotsPerCore()));
        this.maxQueued = (int) Math.round(machine.cores() * machine.queuePerCore());
        this.waitTimes = waitTimes;
        this.speed = speed;
        this.listener = listener;
        this.processors = new ProcessorSharing(environment, machine.cores(), speed, this::advance);
        this.overload = new OverloadMonitor(
                environment, machine.overloadSlowdown(), machine.cores(), this::size, this::onSlowdownChanged);
    }

    /** Number of jobs in slots and in the queue. */
    int size() {
        return slotsTaken() + queue.size();
    }

    boolean isFull() {
        return slotsTaken() >= slots && queue.size() >= maxQueued;
    }

    /** Remaining work of the running and the queued jobs. */
    double backlog() {
        double sum = processors.remainingWork();
        for (ServerJob job : queue) {
            sum += job.work;
        }
        return sum;
    }

    private int slotsTaken() {
        return processors.runningJobs() + waitingOnDependencies.size();
    }

    /** Updates the attained service to the current time. */
    void update() {
        processors.update();
    }

    /** Starts or queues a job. The attained service must be up to date, and the queue must not be full. */
    void add(ServerJob job) {
        if (slotsTaken() < slots) {
            start(job);
        } else {
            queue.addLast(job);
        }
        overload.update();
        processors.plan();
    }

    /** Accounts for work outside the slots, which delays the running jobs. */
    void delayBy(double work) {
        processors.delayBy(work);
    }

    /** Must be called after each change of the speed. */
    void onSpeedChanged() {
        processors.plan();
    }

    private void onSlowdownChanged(boolean isSlowed) {
        speed.setSlowedByOverload(isSlowed);
        processors.plan();
    }

    private void start(ServerJob job) {
        listener.onStarted(job);
        processors.start(job);
    }

    /** Completes the jobs whose work is done, and starts queued jobs in their slots. */
    private void advance() {
        processors.update();
        while (processors.hasFinishedJob()) {
            waitOrFinish(processors.removeFinishedJob());
        }
        while (slotsTaken() < slots && !queue.isEmpty()) {
            start(queue.removeFirst());
        }
        overload.update();
        processors.plan();
    }

    /** Handles a job whose work is done: if its class waits on dependencies, it keeps its slot but uses no core. */
    private void waitOrFinish(ServerJob job) {
        double meanWaitMs =
                environment.scenario().classes().get(job.request.requestClass()).waitMs();
        if (meanWaitMs <= 0) {
            listener.onFinished(job);
            return;
        }
        waitingOnDependencies.add(job);
        environment.schedule(meanWaitMs * waitTimes.getAsDouble(), () -> {
            if (waitingOnDependencies.remove(job)) {
                listener.onFinished(job);
                advance();
            }
        });
    }

    /** Removes all jobs after the process has ended: running ones by completion order, then queued and waiting ones. */
    List<ServerJob> removeAll() {
        List<ServerJob> removed = processors.removeAll();
        removed.addAll(queue);
        waitingOnDependencies.stream().sorted().forEach(removed::add);
        queue.clear();
        waitingOnDependencies.clear();
        overload.onProcessEnded();
        return removed;
    }
}
