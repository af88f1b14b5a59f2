package dewplank;

import dewplank.emulator.scenario.Distribution;
import dewplank.lab.load.LoadOutcome;
import dewplank.lab.load.LoadPlan;
import dewplank.lab.load.LoadReport;
import dewplank.lab.load.LoadRun;
import dewplank.lab.load.Schedule;
import dewplank.lab.load.ShapedSchedule;
import dewplank.lab.load.ShapedSchedule.Shape;
import dewplank.lab.load.StubServer;
import dewplank.lab.load.TraceSchedule;
import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/** Commands of the load generator. */
final class LoadCommands {
    private LoadCommands() {}

    /** Sends requests in an open loop and prints the latencies measured from their scheduled start times. */
    public static final class Load implements Command {
        @Argument(
                required = true,
                multiValued = true,
                metaVar = "URL",
                usage = "http://host:port/path; several take turns")
        private List<String> urls = new ArrayList<>();

        @Option(name = "--rate", metaVar = "N", usage = "requests a second; of a ramp, at its beginning")
        private double rate = 100;

        @Option(name = "--to", metaVar = "N", usage = "requests a second at the end of a ramp")
        private double to;

        @Option(name = "--steps", metaVar = "N,N,...", usage = "requests a second in equally long steps")
        private String steps = "";

        @Option(name = "--shape", metaVar = "NAME", usage = "poisson, uniform, bursts, ramp or steps")
        private String shape = "poisson";

        @Option(name = "--swing", metaVar = "N", usage = "of bursts: 1 for twice the rate and none in turn")
        private double swing = 1;

        @Option(name = "--period-s", metaVar = "S", usage = "of bursts")
        private double period = 2;

        @Option(
                name = "--trace",
                metaVar = "FILE",
                usage = "start times in milliseconds, one a line, instead of a shape")
        private Path trace;

        @Option(name = "--seconds", metaVar = "S")
        private double seconds = 10;

        @Option(name = "--warm-up-s", metaVar = "S", usage = "at the first rate, not counted; default: 2")
        private double warmUp = 2;

        @Option(name = "--connections", metaVar = "N", usage = "open at the same time, at the most")
        private int connections = 64;

        @Option(name = "--threads", metaVar = "N")
        private int threads = 2;

        @Option(name = "--sources", metaVar = "N", usage = "loopback addresses to connect from, for many connections")
        private int sources;

        @Option(name = "--timeout-ms", metaVar = "N")
        private double timeout = 10_000;

        @Option(name = "--class", metaVar = "NAME:WEIGHT[:METHOD[:BYTES]]", usage = "may be given several times")
        private List<String> kinds = new ArrayList<>();

        @Option(name = "--header", metaVar = "NAME: VALUE", usage = "with {id} and {class} filled in")
        private List<String> headers = new ArrayList<>();

        @Option(name = "--seed", metaVar = "N")
        private long seed = 1;

        @Option(name = "--json", metaVar = "FILE", usage = "the figures for a program")
        private Path json;

        @Override
        public void run() throws IOException, InterruptedException {
            LoadPlan plan = plan();
            if (warmUp > 0) {
                System.err.println("warming up");
                new LoadRun(plan.warmUp(1000 * warmUp), line -> {}).run();
            }
            LoadOutcome outcome = new LoadRun(plan, System.err::println).run();
            System.out.print(LoadReport.table(outcome));
            if (json != null) {
                Files.writeString(json, LoadReport.json(outcome));
            }
        }

        private LoadPlan plan() {
            checkBounds();
            Shape parsedShape = parseShape();
            List<Double> stepRates = parseStepRates();
            check(parsedShape != Shape.STEPS || !stepRates.isEmpty(), "--shape steps needs --steps");
            check(parsedShape != Shape.RAMP || to > 0, "--shape ramp needs --to");
            List<LoadPlan.RequestClass> classes = kinds.isEmpty()
                    ? List.of(LoadPlan.RequestClass.parse("request:1"))
                    : kinds.stream().map(LoadPlan.RequestClass::parse).toList();
            return new LoadPlan(
                    urls.stream().map(LoadPlan.Target::parse).toList(),
                    schedule(parsedShape, stepRates),
                    parsedShape == Shape.STEPS ? stepRates.get(0) : rate,
                    classes,
                    headers,
                    connections,
                    threads,
                    timeout,
                    sources,
                    seed);
        }

        private void checkBounds() {
            check(rate > 0 && rate <= 10_000_000, "--rate should be above 0 and at most 10,000,000");
            check(seconds > 0 && seconds <= 86_400, "--seconds should be above 0 and at most 86,400");
            check(threads > 0 && threads <= 256, "--threads should be from 1 to 256");
            check(
                    connections >= threads && connections <= 1_000_000,
                    "--connections should be from --threads to 1,000,000");
            check(sources >= 0 && sources <= 250, "--sources should be from 0 to 250");
            check(timeout > 0 && timeout <= 600_000, "--timeout-ms should be above 0 and at most 600,000");
            check(warmUp >= 0 && warmUp <= 3_600, "--warm-up-s should be from 0 to 3,600");
            check(swing >= 0 && period > 0, "--swing and --period-s can't be below 0");
            headers.forEach(header -> check(header.indexOf(':') > 0, "--header " + header + ": should be NAME: VALUE"));
        }

        private Shape parseShape() {
            return Stream.of(Shape.values())
                    .filter(candidate ->
                            candidate.name().toLowerCase(Locale.ROOT).equals(shape))
                    .findFirst()
                    .orElseThrow(() -> new InvalidInputException(
                            "--shape " + shape + ": should be poisson, uniform, bursts, ramp or steps"));
        }

        private List<Double> parseStepRates() {
            List<Double> rates = new ArrayList<>();
            try {
                for (String step : steps.isEmpty() ? new String[0] : steps.split(",")) {
                    rates.add(Double.parseDouble(step));
                }
            } catch (NumberFormatException e) {
                throw new InvalidInputException("--steps " + steps + ": should be numbers separated by commas");
            }
            return rates;
        }

        private Schedule schedule(Shape parsedShape, List<Double> stepRates) {
            return trace == null
                    ? new ShapedSchedule(parsedShape, rate, to, stepRates, swing, 1000 * period, 1000 * seconds)
                    : TraceSchedule.read(trace);
        }
    }

    private static void check(boolean condition, String message) {
        if (!condition) {
            throw new InvalidInputException(message);
        }
    }

    /** Runs servers that do no work, as targets of the load generator, until the program is terminated. */
    public static final class Serve implements Command {
        @Argument(required = true, multiValued = true, metaVar = "HOST:PORT", usage = "one thread an address")
        private List<String> addresses = new ArrayList<>();

        @Option(name = "--mean-ms", metaVar = "N", usage = "how long it takes; default: no time")
        private double mean;

        @Option(name = "--distribution", metaVar = "NAME", usage = "fixed, exp, lognormal or gamma")
        private String distribution = "fixed";

        @Option(name = "--cv", metaVar = "N", usage = "coefficient of variation")
        private double cv = 1;

        @Override
        public void run() throws IOException, InterruptedException {
            check(mean >= 0 && cv >= 0, "--mean-ms and --cv can't be below 0");
            Distribution serviceTimes = Stream.of(Distribution.values())
                    .filter(d -> d.name().toLowerCase(Locale.ROOT).equals(distribution))
                    .findFirst()
                    .orElseThrow(() -> new InvalidInputException(
                            "--distribution " + distribution + ": should be fixed, exp, lognormal or gamma"));
            List<InetSocketAddress> listenAddresses = addresses.stream()
                    .map(a -> LoadPlan.Target.parse("http://" + a).address())
                    .toList();
            try (StubServer stubServer = new StubServer(listenAddresses, serviceTimes, mean, cv, 1)) {
                System.out.println("answering on " + stubServer.addresses());
                Thread.currentThread().join();
            }
        }
    }
}
