package dewplank.lab.load;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import dewplank.emulator.RandomStreams;
import dewplank.emulator.loopback.HttpEndpoint;
import dewplank.emulator.scenario.Distribution;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import dewplank.settings.InvalidInputException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.FutureTask;
import java.util.function.DoubleSupplier;
import java.util.function.IntFunction;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Runs the load tool against targets on loopback sockets and checks its counts and the latencies that it reports. */
class LoadRunTest {
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private static LoadPlan plan(StubServer target, Schedule schedule, int connections) {
        return plan(target, schedule, connections, 5_000);
    }

    private static LoadPlan plan(StubServer target, Schedule schedule, int connections, double timeoutMs) {
        InetSocketAddress address = target.addresses().get(0);
        return new LoadPlan(
                List.of(LoadPlan.Target.parse(
                        "http://" + address.getHostString() + ":" + address.getPort() + "/a?b=c")),
                schedule,
                0,
                List.of(LoadPlan.RequestClass.parse("read:3"), LoadPlan.RequestClass.parse("write:1:POST:100")),
                List.of("X-Id: {id}"),
                connections,
                2,
                timeoutMs,
                3,
                1);
    }

    private static LoadOutcome run(LoadPlan plan) throws Exception {
        return new LoadRun(plan, line -> {}).run();
    }

    private static double percentileMs(LoadOutcome outcome, double percentile) {
        return LoadReport.percentileMs(outcome.all().latencyUs(), percentile);
    }

    private static double percentile(double[] sorted, double percentile) {
        return sorted[(int) Math.ceil(percentile / 100 * sorted.length) - 1];
    }

    /** The target draws each response delay from a known distribution and logs it. */
    @Nested
    class Percentiles {
        private static final double[] PERCENTILES = {50, 90, 99};

        private final ExchangeLog log = new ExchangeLog();

        private IntFunction<DoubleSupplier> drawnDelays() {
            DoubleSupplier factor =
                    RandomStreams.around(Distribution.LOGNORMAL, 0.5, new RandomStreams(5).stream("times", 0));
            return index -> () -> 250 * factor.getAsDouble();
        }

        /**
         * On the manual clock only scheduled delays take time, so the figures don't depend on the machine's speed.
         */
        @Test
        void matchTheDelaysOfTheTargetOnAManualClock() throws Exception {
            ManualClock clock = new ManualClock();
            try (StubServer target =
                    new StubServer(List.of(ANY_PORT), drawnDelays(), loop -> loggingClock(clock.of(loop)))) {
                LoadPlan plan = plan(target, ShapedSchedule.poisson(600, 5_000), 800);
                LoadOutcome outcome = runWithClock(plan, clock);
                double[] drawnDelaysMs = log.drawnDelaysMs();
                assertEquals(drawnDelaysMs.length, outcome.all().ok());
                for (double percentile : PERCENTILES) {
                    double expectedMs = percentile(drawnDelaysMs, percentile);
                    assertEquals(expectedMs, percentileMs(outcome, percentile), 0.005 * expectedMs, "p" + percentile);
                }
                assertEquals(0, outcome.lagUs().getValueAtPercentile(50), "no wake-up is late on the manual clock");
            }
        }

        /** Returns a clock for the target that logs each response; the target schedules no other tasks with a delay. */
        private LoadClock loggingClock(LoadClock clock) {
            return new LoadClock() {
                @Override
                public double nowMs() {
                    return clock.nowMs();
                }

                @Override
                public void schedule(double delayMs, Runnable response) {
                    clock.schedule(delayMs, () -> {
                        response.run();
                        log.responseSent();
                    });
                    log.received(delayMs);
                }

                @Override
                public void scheduleTimeout(double delayMs, Runnable task) {
                    clock.scheduleTimeout(delayMs, task);
                }
            };
        }

        private LoadOutcome runWithClock(LoadPlan plan, ManualClock clock)
                throws InterruptedException, ExecutionException {
            FutureTask<LoadOutcome> outcome = new FutureTask<>(new LoadRun(plan, line -> {}, clock::of, log)::run);
            Thread runner = new Thread(outcome, "load run");
            runner.start();
            clock.awaitScheduled(plan.threads());
            while (runner.isAlive()) {
                clock.runNext(runner);
                log.awaitIdle();
            }
            return outcome.get();
        }

        /** No latency is below the target's delay, and all match the times that the test measured to each response. */
        @Test
        void matchTheLatenciesMeasuredOnTheSystemClock() throws Exception {
            try (StubServer target =
                    new StubServer(List.of(ANY_PORT), drawnDelays(), loop -> loggingClock(LoadClock.of(loop)))) {
                run(plan(target, ShapedSchedule.poisson(600, 2_000), 800)); // warms up the JIT compiler
                log.clear();
                LoadPlan plan = plan(target, ShapedSchedule.poisson(600, 5_000), 800);
                LoadOutcome outcome = new LoadRun(plan, line -> {}, LoadClock::of, log).run();
                double[] drawnDelaysMs = log.drawnDelaysMs();
                assertEquals(drawnDelaysMs.length, outcome.all().ok());
                for (double percentile : PERCENTILES) {
                    double measuredMs = percentile(log.observedLatenciesMs(), percentile);
                    assertEquals(measuredMs, percentileMs(outcome, percentile), 0.02 * measuredMs, "p" + percentile);
                    assertTrue(
                            percentileMs(outcome, percentile) >= 0.999 * percentile(drawnDelaysMs, percentile),
                            "p" + percentile);
                }
            }
        }
    }

    /** A closed loop would send nothing during the stall and report only one slow response. */
    @Test
    void aStallOfOneSecondIsVisibleInTheHighPercentiles() throws Exception {
        try (StubServer target = new StubServer(List.of(ANY_PORT), Distribution.FIXED, 0, 0, 1)) {
            int[] seconds = new int[1];
            LoadOutcome outcome = new LoadRun(plan(target, ShapedSchedule.uniform(400, 5_000), 40), line -> {
                        if (++seconds[0] == 2) {
                            target.stall(1_000);
                        }
                    })
                    .run();
            assertEquals(2_000, outcome.all().ok());
            assertTrue(percentileMs(outcome, 99) > 800, "p99 " + percentileMs(outcome, 99));
            assertTrue(percentileMs(outcome, 50) < 100, "p50 " + percentileMs(outcome, 50));
        }
    }

    @Test
    void requestsWithoutAResponseAreCountedAndMeasuredAsTimeouts() throws Exception {
        try (StubServer target = new StubServer(List.of(ANY_PORT), Distribution.FIXED, 60_000, 0, 1)) {
            LoadOutcome outcome = run(plan(target, ShapedSchedule.uniform(50, 1_000), 100, 300));
            assertEquals(50, outcome.all().timedOut());
            assertTrue(percentileMs(outcome, 50) >= 299);
            JsonObject json = JsonParser.parseString(LoadReport.json(outcome)).getAsJsonObject();
            assertEquals(2, json.getAsJsonArray("classes").size());
        }
    }

    @Test
    void requestsToAClosedTargetAreCountedAsConnectionFailures() throws Exception {
        StubServer closed = new StubServer(List.of(ANY_PORT), Distribution.FIXED, 0, 0, 1);
        closed.close();
        assertEquals(
                50,
                run(plan(closed, ShapedSchedule.uniform(50, 1_000), 10)).all().connectionFailures());
    }

    /** A long body, a response to HEAD with a Content-Length but no body, and an error status. */
    @Test
    void longBodiesResponsesToHeadAndErrorsAreCounted() throws Exception {
        EventLoop loop = new EventLoop();
        try {
            Listener listener = new Listener(loop, ANY_PORT, 100, LongBodyEndpoint::new);
            loop.execute(listener::accept);
            InetSocketAddress address = (InetSocketAddress) listener.address();
            LoadOutcome outcome = run(new LoadPlan(
                    List.of(LoadPlan.Target.parse("http://127.0.0.1:" + address.getPort())),
                    ShapedSchedule.uniform(100, 1_000),
                    0,
                    List.of(
                            LoadPlan.RequestClass.parse("long:1"),
                            LoadPlan.RequestClass.parse("head:1:HEAD"),
                            LoadPlan.RequestClass.parse("bad:1:PUT:10")),
                    List.of(),
                    10,
                    1,
                    5_000,
                    0,
                    2));
            ClassOutcome head = outcome.classes().get(1);
            ClassOutcome bad = outcome.classes().get(2);
            assertEquals(100, outcome.all().responses());
            assertEquals(bad.sent(), bad.otherStatus());
            assertEquals(head.sent(), head.ok());
            assertTrue(outcome.connectionsOpened() <= 10);
        } finally {
            loop.stop();
        }
    }

    /** Responds with 300 kB; to HEAD without the body, to PUT with an error status. */
    private static final class LongBodyEndpoint extends HttpEndpoint {
        @Override
        protected void onRequest(RequestParser request) {
            byte[] body = new byte[300_000];
            ByteBuffer response = MessageWriter.response(request.method().equals("PUT") ? 500 : 200)
                    .body(body);
            respond(request.method().equals("HEAD") ? response.limit(response.limit() - body.length) : response);
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {"x:0", "x", ":1", "x:one", "x:1:PUT:-1", "x:1:PUT:1:1"})
    void aMalformedClassIsRejected(String text) {
        assertEquals(
                "class " + text + ": expected NAME:WEIGHT[:METHOD[:BODY_BYTES]] with a weight above 0",
                assertThrows(InvalidInputException.class, () -> LoadPlan.RequestClass.parse(text))
                        .getMessage());
    }

    @ParameterizedTest
    @ValueSource(strings = {"ftp://h/", "h:80", "http:/path"})
    void aMalformedTargetIsRejected(String url) {
        assertEquals(
                "target " + url + ": expected http://host:port/path",
                assertThrows(InvalidInputException.class, () -> LoadPlan.Target.parse(url))
                        .getMessage());
    }
}
