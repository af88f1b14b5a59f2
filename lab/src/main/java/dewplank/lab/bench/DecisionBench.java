package dewplank.lab.bench;

import dewplank.balancer.Action.Send;
import dewplank.balancer.Action.SetTimer;
import dewplank.balancer.Balancer;
import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.TimerFired;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import dewplank.balancer.adaptive.AdaptiveBalancer;
import dewplank.emulator.scenario.BalancerSettings;
import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.scenario.ScenarioFile;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.Options;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;

/**
 * Measures the cost of the decision module without sockets or emulation, by the number of listed servers: one request
 * from its arrival to its successful end while others are in flight, and an endpoint list update followed by a request.
 * JMH creates one instance for each thread and calls it on that thread.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecisionBench {
    private static final int MAX_IN_FLIGHT = 16;
    private static final double GAP_MS = 0.06;
    private static final double SERVED_MS = 1;

    /** A timer of the balancer. */
    private record PendingTimer(double atMs, long timer) {}

    /** Number of servers in the endpoint list. */
    @Param({"6", "60", "200", "2000"})
    public int servers;

    private final List<Endpoint> endpoints = new ArrayList<>();
    private final Queue<Send> inFlight = new ArrayDeque<>();
    private final PriorityQueue<PendingTimer> timers =
            new PriorityQueue<>(Comparator.comparingDouble(PendingTimer::atMs));
    private List<String> classes;
    private Balancer balancer;
    private double nowMs;
    private long request;
    private int changedServer;

    /** Creates a balancer and sends it the endpoint list. */
    @Setup
    public void setUp() {
        Scenario scenario = ScenarioFile.named("fleet").with("sidecars", 1);
        classes = scenario.classNames();
        balancer = new AdaptiveBalancer(BalancerSettings.of(scenario, 0), new SplittableRandom(1));
        endpoints.clear();
        for (int i = 0; i < servers; i++) {
            endpoints.add(endpoint(i, 1));
        }
        handle(new EndpointUpdate(UpdateKind.CACHED, endpoints));
    }

    private static Endpoint endpoint(int number, double rating) {
        return new Endpoint(
                "server-" + number, number % 2 == 0 ? "a" : "b", "kind", number / 5, Availability.UP, rating, null);
    }

    private void handle(Event event) {
        balancer.handle(nowMs, event, action -> {
            if (action instanceof Send send) {
                inFlight.add(send);
            } else if (action instanceof SetTimer setTimer) {
                timers.add(new PendingTimer(nowMs + setTimer.delayMs(), setTimer.timer()));
            }
        });
    }

    /** A request arrives, and an earlier one in flight is served. */
    @Benchmark
    public void request() {
        nowMs += GAP_MS;
        while (!timers.isEmpty() && timers.peek().atMs() <= nowMs) {
            handle(new TimerFired(timers.remove().timer()));
        }
        request++;
        handle(new RequestArrived(
                request, null, null, false, classes.get((int) (request % classes.size())), 600, null));
        while (inFlight.size() > MAX_IN_FLIGHT) {
            Send send = inFlight.remove();
            handle(new AttemptEnded(send.request(), 0, send.server(), Outcome.SERVED, SERVED_MS, true, null));
        }
    }

    /** As {@link #request()}, after the rating of one server has changed. Scripts may match the printed method name. */
    @Benchmark
    public void requestAfterAChangeOfTheList() {
        changedServer = (changedServer + 1) % servers;
        handle(new EndpointUpdate(UpdateKind.INCREMENTAL, List.of(endpoint(changedServer, 1 + request % 7 * 0.1))));
        request();
    }

    /**
     * Runs both benchmarks and returns a table: servers, microseconds, half width of the 99.9 % interval.
     *
     * @param forks number of JVMs, run sequentially
     * @param seconds duration of each of the eight iterations
     */
    public static String table(int forks, int seconds) throws RunnerException {
        Options options = new OptionsBuilder()
                .include(DecisionBench.class.getName())
                .forks(forks)
                .warmupIterations(3)
                .warmupTime(TimeValue.seconds(seconds))
                .measurementIterations(5)
                .measurementTime(TimeValue.seconds(seconds))
                .jvmArgsAppend("-XX:+UseSerialGC", "-Xmx256m")
                .build();
        Collection<RunResult> results = new Runner(options).run();
        StringBuilder text = new StringBuilder("benchmark,servers,microseconds,error\n");
        for (RunResult result : results) {
            text.append("%s,%s,%.3f,%.3f%n"
                    .formatted(
                            result.getPrimaryResult().getLabel(),
                            result.getParams().getParam("servers"),
                            result.getPrimaryResult().getScore(),
                            result.getPrimaryResult().getScoreError()));
        }
        return text.toString();
    }
}
