package dewplank.lab.load;

import dewplank.net.EventLoop;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import org.HdrHistogram.Histogram;

/** Executes a plan on several workers, which share no state. An instance can be run only once. */
public final class LoadRun {
    private final LoadPlan plan;
    private final Consumer<String> progress;
    private final Function<EventLoop, LoadClock> clocks;
    private final LoadListener listener;

    /** {@code progress}: receives a line each second, on the thread that calls {@link #run}. */
    public LoadRun(LoadPlan plan, Consumer<String> progress) {
        this(plan, progress, LoadClock::of, LoadListener.NONE);
    }

    /** {@code clocks}: provides the clock for each worker's loop. */
    LoadRun(LoadPlan plan, Consumer<String> progress, Function<EventLoop, LoadClock> clocks, LoadListener listener) {
        this.plan = plan;
        this.progress = progress;
        this.clocks = clocks;
        this.listener = listener;
    }

    /**
     * Runs the plan and waits until each request has its response, has failed or has timed out.
     *
     * @throws IOException if an event loop cannot be created or a source address is invalid
     */
    public LoadOutcome run() throws IOException, InterruptedException {
        List<LoadWorker> workers = new ArrayList<>();
        try {
            for (int i = 0; i < plan.threads(); i++) {
                workers.add(new LoadWorker(plan, i, clocks, listener));
            }
            double beganMs = System.nanoTime() / 1e6;
            workers.forEach(LoadWorker::begin);
            await(workers);
            double elapsedMs = System.nanoTime() / 1e6 - beganMs - LoadWorker.START_DELAY_MS;
            return merge(workers, elapsedMs / 1000);
        } finally {
            workers.forEach(LoadWorker::stop);
        }
    }

    private void await(List<LoadWorker> workers) throws InterruptedException {
        int second = 0;
        for (LoadWorker worker : workers) {
            while (!worker.await(1, TimeUnit.SECONDS)) {
                progress.accept(progressLine(++second, workers));
            }
        }
    }

    private static String progressLine(int second, List<LoadWorker> workers) {
        Histogram latencyUs = new Histogram(ClassOutcome.MAX_LATENCY_US, ClassOutcome.SIGNIFICANT_DIGITS);
        workers.forEach(worker -> latencyUs.add(worker.takeIntervalLatencyUs()));
        return "%4d s  %8d answered  p50 %8.2f ms  p99 %8.2f ms  max %8.2f ms"
                .formatted(
                        second,
                        latencyUs.getTotalCount(),
                        latencyUs.getValueAtPercentile(50) / 1000.0,
                        latencyUs.getValueAtPercentile(99) / 1000.0,
                        latencyUs.getMaxValue() / 1000.0);
    }

    private LoadOutcome merge(List<LoadWorker> workers, double elapsedS) {
        List<ClassOutcome> classes = new ArrayList<>();
        for (int i = 0; i < plan.classes().size(); i++) {
            ClassOutcome sum = new ClassOutcome(plan.classes().get(i).name());
            for (LoadWorker worker : workers) {
                sum.add(worker.classes().get(i));
            }
            classes.add(sum);
        }
        Histogram lagUs = new Histogram(ClassOutcome.MAX_LATENCY_US, ClassOutcome.SIGNIFICANT_DIGITS);
        double busyFraction = 0;
        long connectionsOpened = 0;
        for (LoadWorker worker : workers) {
            lagUs.add(worker.lagUs());
            busyFraction = Math.max(busyFraction, worker.busyFraction());
            connectionsOpened += worker.connectionsOpened();
        }
        return new LoadOutcome(classes, lagUs, busyFraction, elapsedS, connectionsOpened);
    }
}
