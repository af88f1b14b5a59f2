package dewplank.lab.load;

import dewplank.emulator.RandomStreams;
import dewplank.emulator.loopback.HttpClient;
import dewplank.http.MessageWriter;
import dewplank.http.ResponseParser;
import dewplank.net.EventLoop;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SingleWriterRecorder;
import org.apache.commons.rng.UniformRandomProvider;

/** Plays a plan: some loops, each with its part of the requests and of the connections, sharing nothing. */
public final class LoadRun {
    private static final long MOST_US = 600_000_000L;
    private static final double LEAST_NAP_MS = 0.2;
    private static final double LEAD_MS = 50;
    private static final double GRACE_MS = 2_000;
    private static final ThreadMXBean CPU = ManagementFactory.getThreadMXBean();

    /** Figures of one class. Latencies in microseconds, from the intended start to the answer's last byte. */
    public static final class KindOutcome {
        public final String name;
        public final Histogram latency = new Histogram(MOST_US, 3);
        public long sent;
        public long ok;
        public long refused;
        public long otherStatus;
        public long broken;
        public long timedOut;

        KindOutcome(String name) {
            this.name = name;
        }

        void add(KindOutcome other) {
            latency.add(other.latency);
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
     * @param lag how late the tool itself was, for its turns and for requests that had a free connection, microseconds
     * @param busy the part of a core that the busiest of the tool's loops used: at 1 the tool is what was measured
     */
    public record Outcome(
            List<KindOutcome> kinds, Histogram lag, double busy, double elapsedS, long connectionsOpened) {
        private static final long SOUND_LAG_US = 5_000;
        private static final double SOUND_BUSY = 0.97;

        public KindOutcome all() {
            KindOutcome all = new KindOutcome("all");
            kinds.forEach(all::add);
            return all;
        }

        /** Whether the tool kept its own times well enough for its figures to be the target's. */
        public boolean sound() {
            return lag.getValueAtPercentile(99) <= SOUND_LAG_US && busy <= SOUND_BUSY;
        }
    }

    /** One loop's part. */
    private final class Worker {
        final int number;
        final EventLoop loop = new EventLoop();
        final List<HttpClient> clients = new ArrayList<>();
        final List<KindOutcome> kinds = new ArrayList<>();
        final Histogram lag = new Histogram(MOST_US, 3);
        final SingleWriterRecorder recent = new SingleWriterRecorder(MOST_US, 3);
        final CountDownLatch done = new CountDownLatch(1);
        final Arrivals arrivals;
        final UniformRandomProvider random;
        final ByteBuffer[][] fixed;
        double start;
        double due;
        double planned;
        double busy;
        long cpuAtStart;
        long out;
        long ids;
        int turn;

        Worker(int number) throws IOException {
            this.number = number;
            this.arrivals = plan.trace() != null
                    ? Arrivals.of(plan.trace(), number, plan.threads())
                    : Arrivals.of(plan.arrivals(), number, plan.threads(), plan.seed());
            this.random = new RandomStreams(plan.seed()).stream("kinds", number);
            plan.kinds().forEach(k -> kinds.add(new KindOutcome(k.name())));
            int each = Math.max(
                    1, plan.connections() / plan.threads() / plan.targets().size());
            for (int t = 0; t < plan.targets().size(); t++) {
                clients.add(
                        new HttpClient(loop, plan.targets().get(t).address(), each, sources(number)).forgetBodies());
            }
            boolean template = plan.headers().stream().anyMatch(h -> h.contains("{id}"));
            fixed = new ByteBuffer[plan.targets().size()][plan.kinds().size()];
            for (int t = 0; t < fixed.length && !template; t++) {
                for (int k = 0; k < fixed[t].length; k++) {
                    fixed[t][k] = request(t, k, "");
                }
            }
        }

        void begin(double at) {
            start = at;
            due = start + arrivals.next();
            planned = start;
            loop.execute(() -> cpuAtStart = CPU.getCurrentThreadCpuTime());
            loop.afterExactly(LEAD_MS, this::pump);
        }

        /** Sends all that is due, and sleeps until the next is. */
        private void pump() {
            double now = loop.now();
            lag.recordValue(micros(now - planned)); // a loop that can't keep up comes late to this
            while (due <= now) {
                send(due);
                due = start + arrivals.next();
            }
            if (due == Arrivals.NO_MORE) {
                await(loop.now() + plan.timeoutMs() + GRACE_MS);
            } else {
                planned = Math.max(loop.now() + LEAST_NAP_MS, due);
                loop.afterExactly(planned - loop.now(), this::pump);
            }
        }

        private void await(double most) {
            if (out == 0 || loop.now() > most) {
                clients.forEach(HttpClient::close);
                busy = (CPU.getCurrentThreadCpuTime() - cpuAtStart) / 1e6 / Math.max(1, loop.now() - start);
                done.countDown();
            } else {
                loop.afterExactly(5, () -> await(most));
            }
        }

        private void send(double intended) {
            int target = turn++ % clients.size();
            int kind = pick();
            HttpClient client = clients.get(target);
            KindOutcome figures = kinds.get(kind);
            figures.sent++;
            out++;
            if (client.waiting() == 0) {
                lag.recordValue(micros(loop.now() - intended));
            }
            ByteBuffer bytes = fixed[target][kind] != null
                    ? fixed[target][kind]
                    : request(target, kind, Long.toHexString(((long) number << 48) + ++ids + (plan.seed() << 20)));
            HttpClient.Call[] call = new HttpClient.Call[1];
            boolean[] over = new boolean[1];
            call[0] = client.call(bytes, (answer, body) -> {
                if (!over[0]) {
                    over[0] = true;
                    end(figures, intended, answer);
                }
            });
            if (!over[0]) {
                loop.after(plan.timeoutMs(), () -> {
                    if (!over[0]) {
                        over[0] = true;
                        call[0].cancel();
                        figures.timedOut++;
                        record(figures, intended);
                        out--;
                    }
                });
            }
        }

        private int pick() {
            double place = random.nextDouble() * weights;
            int kind = 0;
            while (kind < kinds.size() - 1 && (place -= plan.kinds().get(kind).weight()) >= 0) {
                kind++;
            }
            return kind;
        }

        private void end(KindOutcome figures, double intended, ResponseParser answer) {
            out--;
            if (answer == null) {
                figures.broken++;
                return;
            }
            int status = answer.status();
            figures.ok += status / 100 == 2 ? 1 : 0;
            figures.refused += status == 429 || status == 503 ? 1 : 0;
            figures.otherStatus += status / 100 != 2 && status != 429 && status != 503 ? 1 : 0;
            record(figures, intended);
        }

        private void record(KindOutcome figures, double intended) {
            long took = micros(loop.now() - intended);
            figures.latency.recordValue(took);
            recent.recordValue(took);
        }
    }

    private final LoadPlan plan;
    private final double weights;
    private final Consumer<String> progress;

    public LoadRun(LoadPlan plan, Consumer<String> progress) {
        this.plan = plan;
        this.weights = plan.kinds().stream().mapToDouble(LoadPlan.Kind::weight).sum();
        this.progress = progress;
    }

    private static long micros(double ms) {
        return Math.max(0, Math.min(MOST_US, Math.round(ms * 1000)));
    }

    /** Addresses to connect from: thousands of connections to one address would use up its ports. */
    private List<InetAddress> sources(int part) throws IOException {
        List<InetAddress> sources = new ArrayList<>();
        for (int i = 0; i < plan.sources(); i++) {
            sources.add(InetAddress.getByAddress(new byte[] {127, 3, (byte) part, (byte) (1 + i % 250)}));
        }
        return sources;
    }

    private ByteBuffer request(int target, int kind, String id) {
        LoadPlan.Target t = plan.targets().get(target);
        LoadPlan.Kind k = plan.kinds().get(kind);
        MessageWriter writer = MessageWriter.request(k.method(), t.path(), t.host());
        for (String header : plan.headers()) {
            int colon = header.indexOf(':');
            writer.header(
                    header.substring(0, colon).strip(),
                    header.substring(colon + 1).strip().replace("{id}", id).replace("{class}", k.name()));
        }
        return k.bodyBytes() == 0 && (k.method().equals("GET") || k.method().equals("HEAD"))
                ? writer.noBody()
                : writer.body(new byte[k.bodyBytes()]);
    }

    /** Runs to the end of the plan, and until all is answered or timed out. */
    public Outcome run() throws IOException, InterruptedException {
        List<Worker> parts = new ArrayList<>();
        try {
            for (int i = 0; i < plan.threads(); i++) {
                parts.add(new Worker(i));
            }
            double wall = System.nanoTime() / 1e6;
            for (Worker p : parts) {
                p.begin(p.loop.now() + LEAD_MS);
            }
            int second = 0;
            for (Worker p : parts) {
                while (!p.done.await(1, TimeUnit.SECONDS)) {
                    progress.accept(line(++second, parts));
                }
            }
            double took = (System.nanoTime() / 1e6 - wall - LEAD_MS) / 1000;
            return merge(parts, took);
        } finally {
            parts.forEach(p -> p.loop.stop());
        }
    }

    private static String line(int second, List<Worker> parts) {
        Histogram interval = new Histogram(MOST_US, 3);
        parts.forEach(p -> interval.add(p.recent.getIntervalHistogram()));
        return "%4d s  %8d answered  p50 %8.2f ms  p99 %8.2f ms  max %8.2f ms"
                .formatted(
                        second,
                        interval.getTotalCount(),
                        interval.getValueAtPercentile(50) / 1000.0,
                        interval.getValueAtPercentile(99) / 1000.0,
                        interval.getMaxValue() / 1000.0);
    }

    private Outcome merge(List<Worker> parts, double took) {
        List<KindOutcome> kinds = new ArrayList<>();
        Histogram lag = new Histogram(MOST_US, 3);
        long opened = 0;
        for (int k = 0; k < plan.kinds().size(); k++) {
            KindOutcome sum = new KindOutcome(plan.kinds().get(k).name());
            for (Worker p : parts) {
                sum.add(p.kinds.get(k));
            }
            kinds.add(sum);
        }
        for (Worker p : parts) {
            lag.add(p.lag);
            opened += p.clients.stream().mapToLong(HttpClient::opened).sum();
        }
        return new Outcome(
                kinds, lag, parts.stream().mapToDouble(p -> p.busy).max().orElse(0), took, opened);
    }
}
