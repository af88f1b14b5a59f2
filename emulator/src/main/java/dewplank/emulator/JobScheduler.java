package dewplank.emulator;

import dewplank.emulator.scenario.MachineType;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.DoubleSupplier;

/**
 * The slots and the queue of a server: jobs in slots share the cores or wait on others, those beyond the slots are
 * queued in the order of arrival.
 */
final class JobScheduler {
    /** Called on the world's thread. */
    interface Listener {
        /** A job got a slot. */
        void onStarted(ServerJob job);

        /** A job left its slot, with its work done. */
        void onFinished(ServerJob job);
    }

    private final World world;
    private final int slots;
    private final int maxQueued;
    private final DoubleSupplier waitTimes;
    private final ServerSpeed speed;
    private final Listener listener;
    private final ProcessorSharing processors;
    private final OverloadMonitor overload;
    private final ArrayDeque<ServerJob> queue = new ArrayDeque<>();
    private final Set<ServerJob> waitingOnOthers = new HashSet<>();

    /** {@code waitTimes}: durations with mean 1 that jobs wait on others. */
    JobScheduler(World world, MachineType machine, DoubleSupplier waitTimes, ServerSpeed speed, Listener listener) {
        this.world = world;
        this.slots = (int) Math.max(1, Math.round(machine.cores() * machine.slotsPerCore()));
        this.maxQueued = (int) Math.round(machine.cores() * machine.queuePerCore());
        this.waitTimes = waitTimes;
        this.speed = speed;
        this.listener = listener;
        this.processors = new ProcessorSharing(world, machine.cores(), speed, this::advance);
        this.overload = new OverloadMonitor(
                world, machine.overloadSlowdown(), machine.cores(), this::size, this::slowdownChanged);
    }

    /** Jobs in slots and in the queue. */
    int size() {
        return slotsTaken() + queue.size();
    }

    boolean isFull() {
        return slotsTaken() >= slots && queue.size() >= maxQueued;
    }

    /** Work that is not done. */
    double backlog() {
        double sum = processors.remainingWork();
        for (ServerJob job : queue) {
            sum += job.work;
        }
        return sum;
    }

    private int slotsTaken() {
        return processors.runningJobs() + waitingOnOthers.size();
    }

    /** Brings the attained service up to date. */
    void update() {
        processors.update();
    }

    /** Starts a job, or queues it. The attained service must be up to date, and the queue not full. */
    void add(ServerJob job) {
        if (slotsTaken() < slots) {
            start(job);
        } else {
            queue.addLast(job);
        }
        overload.update();
        processors.plan();
    }

    /** Work that is done beside the slots and delays the running jobs. */
    void delayBy(double work) {
        processors.delayBy(work);
    }

    /** The speed has changed from now on. */
    void speedChanged() {
        processors.plan();
    }

    private void slowdownChanged(boolean isSlowed) {
        speed.setSlowedByOverload(isSlowed);
        processors.plan();
    }

    private void start(ServerJob job) {
        listener.onStarted(job);
        processors.start(job);
    }

    /** Ends the jobs whose work is done, and starts queued ones in their slots. */
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

    /** The job's work is done; where its class waits on others, it keeps its slot for a while, but no core. */
    private void waitOrFinish(ServerJob job) {
        double meanWaitMs =
                world.scenario().classes().get(job.request.requestClass()).waitMs();
        if (meanWaitMs <= 0) {
            listener.onFinished(job);
            return;
        }
        waitingOnOthers.add(job);
        world.schedule(meanWaitMs * waitTimes.getAsDouble(), () -> {
            if (waitingOnOthers.remove(job)) {
                listener.onFinished(job);
                advance();
            }
        });
    }

    /** The process ended: removes all jobs, in the order in which they would have gone on. */
    List<ServerJob> removeAll() {
        List<ServerJob> removed = processors.removeAll();
        removed.addAll(queue);
        waitingOnOthers.stream().sorted().forEach(removed::add);
        queue.clear();
        waitingOnOthers.clear();
        overload.processEnded();
        return removed;
    }
}
