package dewplank.lab.load;

import dewplank.emulator.RandomStreams;
import dewplank.emulator.loopback.HttpClient;
import dewplank.net.EventLoop;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.net.InetAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.HdrHistogram.Histogram;
import org.HdrHistogram.SingleWriterRecorder;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * One event loop of a load run, which sends its part of the requests over its own connections. Its state is confined to
 * the loop's thread from {@link #begin} until {@link #await} returns true.
 */
final class LoadWorker {
    /** The shortest sleep: requests that are due within this time are sent in one wake-up. */
    private static final double MIN_SLEEP_MS = 0.2;
    /** Delay from {@link #begin} to the first intended start, so that all workers are ready by then. */
    static final double START_DELAY_MS = 50;
    /** Time after the last request's timeout at which the run ends even if requests are still in flight. */
    private static final double DRAIN_TIMEOUT_MS = 2_000;

    private static final double DRAIN_POLL_MS = 5;
    private static final int SOURCE_ADDRESSES_PER_WORKER = 250;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    private final LoadPlan plan;
    private final int number;
    private final EventLoop loop = new EventLoop();
    private final LoadClock clock;
    private final LoadListener listener;
    private final Arrivals arrivals;
    private final UniformRandomProvider random;
    private final RequestTemplates templates;
    private final double totalWeight;
    private final List<HttpClient> clients = new ArrayList<>(); // by target
    private final List<ClassOutcome> classes = new ArrayList<>();
    private final Histogram lagUs = new Histogram(ClassOutcome.MAX_LATENCY_US, ClassOutcome.SIGNIFICANT_DIGITS);
    private final SingleWriterRecorder intervalLatencyUs =
            new SingleWriterRecorder(ClassOutcome.MAX_LATENCY_US, ClassOutcome.SIGNIFICANT_DIGITS);
    private final CountDownLatch finished = new CountDownLatch(1);
    private double startMs;
    private double nextStartMs;
    private double wakeUpMs;
    private double busyFraction;
    private long cpuAtStartNs;
    private long inFlight;
    private long lastId;
    private int requestsSent;

    LoadWorker(LoadPlan plan, int number, Function<EventLoop, LoadClock> clocks, LoadListener listener)
            throws IOException {
        this.plan = plan;
        this.number = number;
        this.clock = clocks.apply(loop);
        this.listener = listener;
        this.arrivals = plan.schedule().arrivals(number, plan.threads(), plan.seed());
        this.random = new RandomStreams(plan.seed()).stream("kinds", number);
        this.templates = new RequestTemplates(plan);
        this.totalWeight = plan.classes().stream()
                .mapToDouble(LoadPlan.RequestClass::weight)
                .sum();
        plan.classes().forEach(requestClass -> classes.add(new ClassOutcome(requestClass.name())));
        int maxConnections =
                Math.max(1, plan.connections() / plan.threads() / plan.targets().size());
        for (LoadPlan.Target target : plan.targets()) {
            clients.add(new HttpClient(loop, target.address(), maxConnections, sourceAddresses()).discardBodies());
        }
    }

    /**
     * Returns the source addresses. Thousands of connections from one address would exhaust its ephemeral ports.
     */
    private List<InetAddress> sourceAddresses() throws IOException {
        List<InetAddress> addresses = new ArrayList<>();
        for (int i = 0; i < plan.sourceAddresses(); i++) {
            int host = 1 + i % SOURCE_ADDRESSES_PER_WORKER;
            addresses.add(InetAddress.getByAddress(new byte[] {127, 3, (byte) number, (byte) host}));
        }
        return addresses;
    }

    /** Starts sending after {@link #START_DELAY_MS}. Called once, by the thread that created the worker. */
    void begin() {
        startMs = clock.nowMs() + START_DELAY_MS;
        nextStartMs = startMs + arrivals.nextMs();
        wakeUpMs = startMs;
        loop.execute(() -> cpuAtStartNs = THREADS.getCurrentThreadCpuTime());
        clock.schedule(START_DELAY_MS, this::sendDue);
    }

    /** Waits at most this long; returns whether the worker has finished. */
    boolean await(long timeout, TimeUnit unit) throws InterruptedException {
        return finished.await(timeout, unit);
    }

    /** Stops the event loop. Any thread may call it. */
    void stop() {
        loop.stop();
    }

    /** Sends all requests that are due and sleeps until the next one is. */
    private void sendDue() {
        double nowMs = clock.nowMs();
        lagUs.recordValue(toMicros(nowMs - wakeUpMs)); // grows when the loop can't keep up
        while (nextStartMs <= nowMs) {
            send(nextStartMs);
            nextStartMs = startMs + arrivals.nextMs();
        }
        if (nextStartMs == Arrivals.END) {
            awaitResponses(clock.nowMs() + plan.timeoutMs() + DRAIN_TIMEOUT_MS);
        } else {
            wakeUpMs = Math.max(clock.nowMs() + MIN_SLEEP_MS, nextStartMs);
            clock.schedule(wakeUpMs - clock.nowMs(), this::sendDue);
        }
    }

    private void awaitResponses(double deadlineMs) {
        if (inFlight > 0 && clock.nowMs() <= deadlineMs) {
            clock.schedule(DRAIN_POLL_MS, () -> awaitResponses(deadlineMs));
            return;
        }
        clients.forEach(HttpClient::close);
        double cpuMs = (THREADS.getCurrentThreadCpuTime() - cpuAtStartNs) / 1e6;
        busyFraction = cpuMs / Math.max(1, clock.nowMs() - startMs);
        finished.countDown();
    }

    private void send(double intendedMs) {
        int target = requestsSent++ % clients.size();
        int requestClass = drawClass();
        HttpClient client = clients.get(target);
        if (client.queuedCalls() == 0) {
            lagUs.recordValue(toMicros(clock.nowMs() - intendedMs));
        }
        long id = ((long) number << 48) + ++lastId + (plan.seed() << 20);
        PendingRequest request = new PendingRequest(classes.get(requestClass), intendedMs);
        request.call = client.call(templates.request(target, requestClass, id), request);
        if (!request.hasEnded) {
            clock.scheduleTimeout(plan.timeoutMs(), request::timeOut);
        }
    }

    private int drawClass() {
        double point = random.nextDouble() * totalWeight;
        int drawn = 0;
        while (drawn < classes.size() - 1 && (point -= plan.classes().get(drawn).weight()) >= 0) {
            drawn++;
        }
        return drawn;
    }

    private static long toMicros(double ms) {
        return Math.max(0, Math.min(ClassOutcome.MAX_LATENCY_US, Math.round(ms * 1000)));
    }

    /** A request in flight, until its response, the loss of its connection or its timeout. */
    private final class PendingRequest implements HttpClient.ResponseHandler {
        private final ClassOutcome outcome;
        private final double intendedMs;
        private HttpClient.Call call;
        private boolean hasEnded;

        PendingRequest(ClassOutcome outcome, double intendedMs) {
            this.outcome = outcome;
            this.intendedMs = intendedMs;
            outcome.countSent();
            inFlight++;
            listener.requestSent();
        }

        @Override
        public void onEnd(Optional<HttpClient.Response> response) {
            if (hasEnded) {
                return;
            }
            hasEnded = true;
            if (response.isEmpty()) {
                outcome.countConnectionFailure();
            } else {
                outcome.countResponse(response.get().head().status(), recordLatency());
            }
            end();
        }

        void timeOut() {
            if (hasEnded) {
                return;
            }
            hasEnded = true;
            call.cancel();
            outcome.countTimeout(recordLatency());
            end();
        }

        private long recordLatency() {
            long elapsedUs = toMicros(clock.nowMs() - intendedMs);
            intervalLatencyUs.recordValue(elapsedUs);
            return elapsedUs;
        }

        private void end() {
            inFlight--;
            listener.requestEnded(intendedMs);
        }
    }

    /** One outcome for each class, in the order of the plan; valid only after the worker has finished. */
    List<ClassOutcome> classes() {
        return classes;
    }

    /** Valid only after the worker has finished. */
    Histogram lagUs() {
        return lagUs;
    }

    /** The fraction of a core that the worker used; valid only after it has finished. */
    double busyFraction() {
        return busyFraction;
    }

    /** Valid only after the worker has finished. */
    long connectionsOpened() {
        return clients.stream().mapToLong(HttpClient::openedConnections).sum();
    }

    /** Latencies in microseconds since the previous call. May be called during the run, by one thread at a time. */
    Histogram takeIntervalLatencyUs() {
        return intervalLatencyUs.getIntervalHistogram();
    }
}
