package dewplank.lab.load;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertThrows;
import static org.junit.Assert.assertTrue;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import dewplank.emulator.RandomStreams;
import dewplank.emulator.loopback.HttpEndpoint;
import dewplank.emulator.scenario.Distribution;
import dewplank.http.MessageWriter;
import dewplank.http.RequestParser;
import dewplank.lab.load.ShapedSchedule.Shape;
import dewplank.net.EventLoop;
import dewplank.net.Listener;
import dewplank.settings.InvalidInputException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.DoubleSupplier;
import org.junit.Test;

public class LoadRunTest {
    private static final InetSocketAddress ANY = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private static LoadPlan plan(StandIn target, Schedule schedule, int connections) {
        InetSocketAddress at = target.addresses().get(0);
        return new LoadPlan(
                List.of(LoadPlan.Target.parse("http://" + at.getHostString() + ":" + at.getPort() + "/a?b=c")),
                schedule,
                0,
                List.of(LoadPlan.RequestClass.parse("read:3"), LoadPlan.RequestClass.parse("write:1:POST:100")),
                List.of("X-Id: {id}"),
                connections,
                2,
                5_000,
                3,
                1);
    }

    private static Schedule steady(Shape shape, double ratePerSecond, double seconds) {
        return new ShapedSchedule(shape, ratePerSecond, 0, List.of(), 0, 1, 1000 * seconds);
    }

    /** The target's own draws are the known distribution; the tool must find its percentiles. */
    @Test
    public void percentilesAreThoseOfTheTarget() throws Exception {
        DoubleSupplier drawn =
                RandomStreams.around(Distribution.LOGNORMAL, 0.5, new RandomStreams(5).stream("times", 0));
        ConcurrentLinkedQueue<Double> times = new ConcurrentLinkedQueue<>();
        try (StandIn target = new StandIn(
                List.of(ANY),
                index -> () -> {
                    double ms = 250 * drawn.getAsDouble();
                    times.add(ms);
                    return ms;
                },
                LoadClock::of)) {
            new LoadRun(plan(target, steady(Shape.POISSON, 600, 2), 800), line -> {}).run(); // code gets warm
            times.clear();
            LoadOutcome outcome = new LoadRun(plan(target, steady(Shape.POISSON, 600, 5), 800), line -> {}).run();
            double[] sorted = times.stream().mapToDouble(d -> d).sorted().toArray();
            assertEquals(sorted.length, outcome.all().ok());
            for (double p : new double[] {50, 90, 99}) {
                double expected = sorted[(int) Math.ceil(p / 100 * sorted.length) - 1];
                assertEquals(
                        "p" + p, expected, LoadReport.percentileMs(outcome.all().latencyUs(), p), 0.02 * expected);
            }
        }
    }

    /**
     * A tool that waits for answers before it asks again would send nothing in that second, and see one slow answer.
     */
    @Test
    public void aTargetThatStallsForASecondShowsInTheHighPercentiles() throws Exception {
        try (StandIn target = new StandIn(List.of(ANY), Distribution.FIXED, 0, 0, 1)) {
            int[] seconds = new int[1];
            LoadOutcome outcome = new LoadRun(plan(target, steady(Shape.UNIFORM, 400, 5), 40), line -> {
                        if (++seconds[0] == 2) {
                            target.stall(1_000);
                        }
                    })
                    .run();
            assertEquals(2_000, outcome.all().ok());
            assertTrue(
                    "p99 " + LoadReport.percentileMs(outcome.all().latencyUs(), 99),
                    LoadReport.percentileMs(outcome.all().latencyUs(), 99) > 800);
            assertTrue(
                    "p50 " + LoadReport.percentileMs(outcome.all().latencyUs(), 50),
                    LoadReport.percentileMs(outcome.all().latencyUs(), 50) < 100);
        }
    }

    @Test
    public void whatNobodyAnswersIsCountedAndTimed() throws Exception {
        try (StandIn target = new StandIn(List.of(ANY), Distribution.FIXED, 60_000, 0, 1)) {
            LoadPlan p = plan(target, steady(Shape.UNIFORM, 50, 1), 100);
            LoadPlan withShortTimeout =
                    new LoadPlan(p.targets(), p.schedule(), 0, p.classes(), p.headers(), 100, 2, 300, 0, 1);
            LoadOutcome outcome = new LoadRun(withShortTimeout, line -> {}).run();
            assertEquals(50, outcome.all().timedOut());
            assertTrue(LoadReport.percentileMs(outcome.all().latencyUs(), 50) >= 299);
            JsonObject json = JsonParser.parseString(LoadReport.json(outcome)).getAsJsonObject();
            assertEquals(2, json.getAsJsonArray("classes").size());
        }
        StandIn gone = new StandIn(List.of(ANY), Distribution.FIXED, 0, 0, 1);
        gone.close();
        LoadPlan nobody = plan(gone, steady(Shape.UNIFORM, 50, 1), 10);
        assertEquals(50, new LoadRun(nobody, line -> {}).run().all().broken());
    }

    /** Any target: long bodies, whatever their framing, no body where there must be none, and statuses of all kinds. */
    @Test
    public void longBodiesAndAnswersToHeadAreRead() throws Exception {
        EventLoop loop = new EventLoop();
        try {
            Listener listener = new Listener(loop, ANY, 100, () -> new HttpEndpoint() {
                @Override
                protected void request(RequestParser request) {
                    byte[] body = new byte[300_000];
                    ByteBuffer response = MessageWriter.response(
                                    request.method().equals("PUT") ? 500 : 200)
                            .body(body);
                    answer(request.method().equals("HEAD") ? response.limit(response.limit() - body.length) : response);
                }
            });
            loop.execute(listener::accept);
            InetSocketAddress at = (InetSocketAddress) listener.address();
            LoadOutcome outcome = new LoadRun(
                            new LoadPlan(
                                    List.of(LoadPlan.Target.parse("http://127.0.0.1:" + at.getPort())),
                                    steady(Shape.UNIFORM, 100, 1),
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
                                    2),
                            line -> {})
                    .run();
            assertEquals(100, outcome.all().answered());
            assertEquals(
                    outcome.classes().get(2).sent(), outcome.classes().get(2).otherStatus());
            assertEquals(
                    outcome.classes().get(1).sent(), outcome.classes().get(1).ok());
            assertTrue(outcome.connectionsOpened() <= 10);
        } finally {
            loop.stop();
        }
    }

    @Test
    public void eachShapeSendsWhatItSays() {
        assertEquals(5_000, count(steady(Shape.POISSON, 500, 10), 0, 10_000), 250);
        assertEquals(5_000, count(steady(Shape.UNIFORM, 500, 10), 0, 10_000), 2);
        Schedule ramp = new ShapedSchedule(Shape.RAMP, 100, 900, List.of(), 0, 1, 10_000);
        assertEquals(100 + 40 * 2.5, count(ramp, 0, 2_500) / 2.5, 25);
        assertEquals(500, count(ramp, 0, 10_000) / 10.0, 25);
        Schedule steps = new ShapedSchedule(Shape.STEPS, 0, 0, List.of(100.0, 0.0, 300.0), 0, 1, 9_000);
        assertEquals(0, count(steps, 3_000, 6_000));
        assertEquals(900, count(steps, 6_000, 9_000), 100);
        Schedule bursts = new ShapedSchedule(Shape.BURSTS, 100, 0, List.of(), 1, 2_000, 10_000);
        assertEquals(0, count(bursts, 1_000, 2_000));
        assertEquals(200, count(bursts, 2_000, 3_000), 50);
    }

    private static int count(Schedule schedule, double from, double to) {
        int n = 0;
        for (int part = 0; part < 3; part++) {
            Arrivals arrivals = schedule.arrivals(part, 3, 9);
            for (double atMs = arrivals.nextMs(); atMs < Arrivals.END; atMs = arrivals.nextMs()) {
                n += atMs >= from && atMs < to ? 1 : 0;
            }
        }
        return n;
    }

    @Test
    public void wrongInputIsNamed() {
        assertEquals(
                "class x:0: should be NAME:WEIGHT[:METHOD[:BODY_BYTES]], with a weight above 0",
                assertThrows(InvalidInputException.class, () -> LoadPlan.RequestClass.parse("x:0"))
                        .getMessage());
        assertEquals(
                "target ftp://h/: only http://host:port/path is known",
                assertThrows(InvalidInputException.class, () -> LoadPlan.Target.parse("ftp://h/"))
                        .getMessage());
    }
}
