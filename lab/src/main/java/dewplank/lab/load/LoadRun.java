package dewplank.lab.load;

import dewplank.emulator.RandomStreams;
import dewplank.emulator.loopback.HttpClient;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SingleWriterRecorder;
import org.apache.commons.rng.UniformRandomProvider;

/** Plays a plan: some loops, each with its part of the requests and of the connections, sharing nothing. */
public final class LoadRun {
    private static final long MAX_LATENCY_US = 600_000_000L;
    private static final double MIN_SLEEP_MS = 0.2;
    private static final double START_DELAY_MS = 50;
    private static final double DRAIN_TIMEOUT_MS = 2_000;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    /** Figures of one class. Latencies in microseconds, from the intended start to the answer's last byte. */
    public static final class ClassOutcome {
        public final String name;
        public final Histogram latencyUs = new Histogram(MAX_LATENCY_US, 3);
        public long sent;
        public long ok;
        public long refused;
        public long otherStatus;
        public long broken;
        public long timedOut;

        ClassOutcome(String name) {
            this.name = name;
        }

        void add(ClassOutcome other) {
            latencyUs.add(other.latencyUs);
            sent += other.sent;
            ok += other.ok;
            refused += other.refused;
            otherStatus += other.otherStatus;
            broken += other.broken;
            timedOut += other.timedOut;
        }

        public long answered() {
            return ok + refused + otherStatus;
        }
    }

    /**
     * What a run measured.
     *
     * @param lagUs how late the tool itself was, for its turns and for requests that had a free connection
     * @param busyFraction the part of a core that the busiest of the loops used: at 1 the tool is what was measured
     */
    public record Outcome(
            List<ClassOutcome> classes, Histogram lagUs, double busyFraction, double elapsedS, long connectionsOpened) {
        private static final long SOUND_LAG_US = 5_000;
        private static final double SOUND_BUSY = 0.97;

        public ClassOutcome all() {
            ClassOutcome all = new ClassOutcome("all");
            classes.forEach(all::add);
            return all;
        }

        /** Whether the tool kept its own times well enough for its figures to be the target's. */
        public boolean sound() {
            return lagUs.getValueAtPercentile(99) <= SOUND_LAG_US && busyFraction <= SOUND_BUSY;
        }
    }

    /** One loop's part. */
    private final class Worker {
        final int number;
        final EventLoop loop = new EventLoop();
        final List<HttpClient> clients = new ArrayList<>();
        final List<ClassOutcome> classes = new ArrayList<>();
        final Histogram lagUs = new Histogram(MAX_LATENCY_US, 3);
        final SingleWriterRecorder intervalLatencyUs = new SingleWriterRecorder(MAX_LATENCY_US, 3);
        final CountDownLatch done = new CountDownLatch(1);
        final Arrivals arrivals;
        final UniformRandomProvider random;
        final ByteBuffer[][] constantRequests;
        double startMs;
        double nextStartMs;
        double wakeUpMs;
        double busyFraction;
        long cpuAtStart;
        long inFlight;
        long lastId;
        int requestsSent;

        Worker(int number) throws IOException {
            this.number = number;
            this.arrivals = plan.traceStartsMs() != null
                    ? Arrivals.of(plan.traceStartsMs(), number, plan.threads())
                    : Arrivals.of(plan.arrivals(), number, plan.threads(), plan.seed());
            this.random = new RandomStreams(plan.seed()).stream("kinds", number);
            plan.classes().forEach(requestClass -> classes.add(new ClassOutcome(requestClass.name())));
            int each = Math.max(
                    1, plan.connections() / plan.threads() / plan.targets().size());
            for (int t = 0; t < plan.targets().size(); t++) {
                clients.add(new HttpClient(loop, plan.targets().get(t).address(), each, sourceAddresses(number))
                        .forgetBodies());
            }
            boolean idInHeaders = plan.headers().stream().anyMatch(h -> h.contains("{id}"));
            constantRequests =
                    new ByteBuffer[plan.targets().size()][plan.classes().size()];
            for (int t = 0; t < constantRequests.length && !idInHeaders; t++) {
                for (int k = 0; k < constantRequests[t].length; k++) {
                    constantRequests[t][k] = request(t, k, "");
                }
            }
        }

        void begin(double atMs) {
            startMs = atMs;
            nextStartMs = startMs + arrivals.nextMs();
            wakeUpMs = startMs;
            loop.execute(() -> cpuAtStart = THREADS.getCurrentThreadCpuTime());
            loop.afterExactly(START_DELAY_MS, this::pump);
        }

        /** Sends all that is due, and sleeps until the next is. */
        private void pump() {
            double now = loop.now();
            lagUs.recordValue(micros(now - wakeUpMs)); // a loop that can't keep up comes late to this
            while (nextStartMs <= now) {
                send(nextStartMs);
                nextStartMs = startMs + arrivals.nextMs();
            }
            if (nextStartMs == Arrivals.END) {
                awaitAnswers(loop.now() + plan.timeoutMs() + DRAIN_TIMEOUT_MS);
            } else {
                wakeUpMs = Math.max(loop.now() + MIN_SLEEP_MS, nextStartMs);
                loop.afterExactly(wakeUpMs - loop.now(), this::pump);
            }
        }

        private void awaitAnswers(double deadlineMs) {
            if (inFlight == 0 || loop.now() > deadlineMs) {
                clients.forEach(HttpClient::close);
                busyFraction =
                        (THREADS.getCurrentThreadCpuTime() - cpuAtStart) / 1e6 / Math.max(1, loop.now() - startMs);
                done.countDown();
            } else {
                loop.afterExactly(5, () -> awaitAnswers(deadlineMs));
            }
        }

        private void send(double intendedMs) {
            int targetIndex = requestsSent++ % clients.size();
            int classIndex = pickClass();
            HttpClient client = clients.get(targetIndex);
            ClassOutcome figures = classes.get(classIndex);
            figures.sent++;
            inFlight++;
            if (client.waiting() == 0) {
                lagUs.recordValue(micros(loop.now() - intendedMs));
            }
            ByteBuffer bytes = constantRequests[targetIndex][classIndex] != null
                    ? constantRequests[targetIndex][classIndex]
                    : request(
                            targetIndex,
                            classIndex,
                            Long.toHexString(((long) number << 48) + ++lastId + (plan.seed() << 20)));
            HttpClient.Call[] call = new HttpClient.Call[1];
            boolean[] isOver = new boolean[1];
            call[0] = client.call(bytes, response -> {
                if (!isOver[0]) {
                    isOver[0] = true;
                    completed(figures, intendedMs, response);
                }
            });
            if (!isOver[0]) {
                loop.after(plan.timeoutMs(), () -> {
                    if (!isOver[0]) {
                        isOver[0] = true;
                        call[0].cancel();
                        figures.timedOut++;
                        record(figures, intendedMs);
                        inFlight--;
                    }
                });
            }
        }

        private int pickClass() {
            double point = random.nextDouble() * totalWeight;
            int classIndex = 0;
            while (classIndex < classes.size() - 1
                    && (point -= plan.classes().get(classIndex).weight()) >= 0) {
                classIndex++;
            }
            return classIndex;
        }

        private void completed(ClassOutcome figures, double intendedMs, Optional<HttpClient.Response> response) {
            inFlight--;
            if (response.isEmpty()) {
                figures.broken++;
                return;
            }
            int status = response.get().head().status();
            figures.ok += status / 100 == 2 ? 1 : 0;
            figures.refused += status == 429 || status == 503 ? 1 : 0;
            figures.otherStatus += status / 100 != 2 && status != 429 && status != 503 ? 1 : 0;
            record(figures, intendedMs);
        }

        private void record(ClassOutcome figures, double intendedMs) {
            long latencyUs = micros(loop.now() - intendedMs);
            figures.latencyUs.recordValue(latencyUs);
            intervalLatencyUs.recordValue(latencyUs);
        }
    }

    private final LoadPlan plan;
    private final double totalWeight;
    private final Consumer<String> progress;

    public LoadRun(LoadPlan plan, Consumer<String> progress) {
        this.plan = plan;
        this.totalWeight = plan.classes().stream()
                .mapToDouble(LoadPlan.RequestClass::weight)
                .sum();
        this.progress = progress;
    }

    private static long micros(double ms) {
        return Math.max(0, Math.min(MAX_LATENCY_US, Math.round(ms * 1000)));
    }

    /** Addresses to connect from: thousands of connections to one address would use up its ports. */
    private List<InetAddress> sourceAddresses(int worker) throws IOException {
        List<InetAddress> sources = new ArrayList<>();
        for (int i = 0; i < plan.sourceAddresses(); i++) {
            sources.add(InetAddress.getByAddress(new byte[] {127, 3, (byte) worker, (byte) (1 + i % 250)}));
        }
        return sources;
    }

    private ByteBuffer request(int targetIndex, int classIndex, String id) {
        LoadPlan.Target loadTarget = plan.targets().get(targetIndex);
        LoadPlan.RequestClass requestClass = plan.classes().get(classIndex);
        MessageWriter writer = MessageWriter.request(requestClass.method(), loadTarget.path(), loadTarget.host());
        for (String header : plan.headers()) {
            int colon = header.indexOf(':');
            writer.header(
                    header.substring(0, colon).strip(),
                    header.substring(colon + 1).strip().replace("{id}", id).replace("{class}", requestClass.name()));
        }
        return requestClass.bodyBytes() == 0
                        && (requestClass.method().equals("GET")
                                || requestClass.method().equals("HEAD"))
                ? writer.noBody()
                : writer.body(new byte[requestClass.bodyBytes()]);
    }

    /** Runs to the end of the plan, and until all is answered or timed out. */
    public Outcome run() throws IOException, InterruptedException {
        List<Worker> workers = new ArrayList<>();
        try {
            for (int i = 0; i < plan.threads(); i++) {
                workers.add(new Worker(i));
            }
            double beganMs = System.nanoTime() / 1e6;
            for (Worker worker : workers) {
                worker.begin(worker.loop.now() + START_DELAY_MS);
            }
            int second = 0;
            for (Worker worker : workers) {
                while (!worker.done.await(1, TimeUnit.SECONDS)) {
                    progress.accept(progressLine(++second, workers));
                }
            }
            double tookS = (System.nanoTime() / 1e6 - beganMs - START_DELAY_MS) / 1000;
            return merge(workers, tookS);
        } finally {
            workers.forEach(worker -> worker.loop.stop());
        }
    }

    private static String progressLine(int second, List<Worker> workers) {
        Histogram interval = new Histogram(MAX_LATENCY_US, 3);
        workers.forEach(worker -> interval.add(worker.intervalLatencyUs.getIntervalHistogram()));
        return "%4d s  %8d answered  p50 %8.2f ms  p99 %8.2f ms  max %8.2f ms"
                .formatted(
                        second,
                        interval.getTotalCount(),
                        interval.getValueAtPercentile(50) / 1000.0,
                        interval.getValueAtPercentile(99) / 1000.0,
                        interval.getMaxValue() / 1000.0);
    }

    private Outcome merge(List<Worker> workers, double tookS) {
        List<ClassOutcome> classes = new ArrayList<>();
        Histogram lagUs = new Histogram(MAX_LATENCY_US, 3);
        long connectionsOpened = 0;
        for (int k = 0; k < plan.classes().size(); k++) {
            ClassOutcome sum = new ClassOutcome(plan.classes().get(k).name());
            for (Worker worker : workers) {
                sum.add(worker.classes.get(k));
            }
            classes.add(sum);
        }
        for (Worker worker : workers) {
            lagUs.add(worker.lagUs);
            connectionsOpened +=
                    worker.clients.stream().mapToLong(HttpClient::opened).sum();
        }
        return new Outcome(
                classes,
                lagUs,
                workers.stream()
                        .mapToDouble(worker -> worker.busyFraction)
                        .max()
                        .orElse(0),
                tookS,
                connectionsOpened);
    }
}
