package dewplank.lab;

import dewplank.emulator.Clients;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.RequestClassSpec;
import dewplank.emulator.scenario.Scenario;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What clients got: the worth answered within its class's aim over the worth asked for, from the first second on. A
 * client's retries belong to its first try, and count towards its time.
 */
public final class Service implements Clients.OutcomeListener {
    private static final double WARM_UP_MS = 1_000;
    private static final long MAX_LATENCY_US = 600_000_000L;
    private static final int WINDOW_S = 10; // seconds that the worst spell lasts

    /** Figures of one class. {@code refused}, {@code failed}: those whose last try ended so. */
    public static final class ClassService {
        final RequestClassSpec kind;
        final Histogram latency =
                new Histogram(MAX_LATENCY_US, 3); // of those served, microseconds from the first try on
        long requests;
        long withinTarget;
        long served;
        long refused;
        long failed;
        long attempts;

        ClassService(RequestClassSpec kind) {
            this.kind = kind;
        }

        public Histogram latency() {
            return latency;
        }

        public String name() {
            return kind.name();
        }

        public double withinTargetRatio() {
            return requests == 0 ? 1 : (double) withinTarget / requests;
        }
    }

    private final double startedAtMs;
    private final List<ClassService> classes = new ArrayList<>();
    private final Scenario scenario;
    private final List<double[][]> tenantSeconds = new ArrayList<>(); // by second and tenant: asked, in aim
    private final List<double[]> seconds = new ArrayList<>(); // worth asked, worth in aim, by the second asked in

    public Service(Scenario scenario, double startedAtMs) {
        this.startedAtMs = startedAtMs;
        this.scenario = scenario;
        scenario.classes().forEach(k -> classes.add(new ClassService(k)));
    }

    @Override
    public void requestEnded(
            int requestClass, int tenant, double firstSentAtMs, double tookMs, int attempts, Type lastType) {
        double sinceStartMs = firstSentAtMs - startedAtMs;
        ClassService figures = classes.get(requestClass);
        boolean withinTarget = tookMs <= figures.kind.targetLatencyMs();
        int second = (int) Math.max(0, sinceStartMs / 1000);
        while (seconds.size() <= second) {
            seconds.add(new double[2]);
        }
        if (tenant >= 0) {
            while (tenantSeconds.size() <= second) {
                tenantSeconds.add(new double[scenario.tenantsAndKeys().tenants().size()][2]);
            }
            tenantSeconds.get(second)[tenant][0] += figures.kind.value();
            tenantSeconds.get(second)[tenant][1] += withinTarget ? figures.kind.value() : 0;
        }
        seconds.get(second)[0] += figures.kind.value();
        seconds.get(second)[1] += withinTarget ? figures.kind.value() : 0;
        if (sinceStartMs < WARM_UP_MS) {
            return;
        }
        figures.requests++;
        figures.attempts += attempts;
        figures.withinTarget += withinTarget ? 1 : 0;
        if (!Double.isNaN(tookMs)) {
            figures.served++;
            figures.latency.recordValue(Math.min(MAX_LATENCY_US, Math.round(tookMs * 1000)));
        } else if (lastType == Type.REFUSED) {
            figures.refused++;
        } else {
            figures.failed++;
        }
    }

    public List<ClassService> classes() {
        return classes;
    }

    /** The worth asked and the worth answered in its aim, for each second of the run. */
    public List<double[]> seconds() {
        return seconds;
    }

    public double valueRatio() {
        double requests =
                classes.stream().mapToDouble(c -> c.requests * c.kind.value()).sum();
        return requests == 0
                ? 1
                : classes.stream()
                                .mapToDouble(c -> c.withinTarget * c.kind.value())
                                .sum()
                        / requests;
    }

    public double worstClass() {
        return classes.stream()
                .mapToDouble(ClassService::withinTargetRatio)
                .min()
                .orElse(1);
    }

    /**
     * The service of the tenant served worst, within its share: what it asks for beyond its allowance in a second
     * counts only by the worth that such requests have. 1 without tenants.
     */
    public double worstTenant() {
        double worst = 1;
        double meanValue = requests() == 0
                ? 1
                : classes.stream().mapToDouble(c -> c.requests * c.kind.value()).sum() / requests();
        for (int t = 0; t < scenario.tenantsAndKeys().tenants().size(); t++) {
            double allowed = scenario.allowancePerSecond(t) * meanValue;
            double requests = 0;
            double got = 0;
            for (double[][] second : tenantSeconds.subList(Math.min(1, tenantSeconds.size()), tenantSeconds.size())) {
                double within = second[t][0] <= 0 ? 0 : Math.min(1, allowed / second[t][0]);
                double counted = second[t][0]
                        * (within + (1 - within) * scenario.tenantsAndKeys().overShareValueFactor());
                requests += counted;
                got += Math.min(counted, second[t][1]); // what is served counts as what is within the share first
            }
            worst = requests > 0 ? Math.min(worst, got / requests) : worst;
        }
        return worst;
    }

    /** The service of the worst ten seconds. */
    public double worstWindow() {
        double worst = 1;
        for (int i = 1; i + WINDOW_S <= seconds.size(); i++) {
            double requests = 0;
            double got = 0;
            for (double[] s : seconds.subList(i, i + WINDOW_S)) {
                requests += s[0];
                got += s[1];
            }
            worst = requests > 0 ? Math.min(worst, got / requests) : worst;
        }
        return worst;
    }

    /**
     * Seconds until the service was at least {@code level} for three seconds running, counted from that time; or -1.
     */
    public int secondsToRecover(double fromMs, double level) {
        int from = (int) (fromMs / 1000);
        for (int i = from; i + 3 <= seconds.size(); i++) {
            boolean back = seconds.subList(i, i + 3).stream().allMatch(s -> s[0] == 0 || s[1] / s[0] >= level);
            if (back) {
                return i - from;
            }
        }
        return -1;
    }

    public long requests() {
        return classes.stream().mapToLong(c -> c.requests).sum();
    }

    public double perRequest(java.util.function.ToLongFunction<ClassService> figure) {
        return requests() == 0 ? 0 : (double) classes.stream().mapToLong(figure).sum() / requests();
    }

    public double refusedRatio() {
        return perRequest(c -> c.refused);
    }

    public double failedRatio() {
        return perRequest(c -> c.failed);
    }

    public double attemptsPerRequest() {
        return perRequest(c -> c.attempts);
    }

    public Histogram latency() {
        Histogram all = new Histogram(MAX_LATENCY_US, 3);
        classes.forEach(c -> all.add(c.latency));
        return all;
    }
}
