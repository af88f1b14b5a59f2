package dewplank.lab;

import dewplank.emulator.Clients;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.Scenario;
import dewplank.emulator.Scenario.RequestKind;
import java.util.ArrayList;
import java.util.List;
import org.HdrHistogram.Histogram;

/**
 * What clients got: the worth answered within its class's aim over the worth asked for, from the first second on. A
 * client's retries belong to its first try, and count towards its time.
 */
public final class Service implements Clients.OutcomeListener {
    private static final double FROM_MS = 1_000;
    private static final long MOST_US = 600_000_000L;
    private static final int SPELL = 10; // seconds that the worst spell lasts

    /** Figures of one class. {@code refused}, {@code failed}: those whose last try ended so. */
    public static final class ClassService {
        final RequestKind kind;
        final Histogram latency = new Histogram(MOST_US, 3); // of those served, microseconds from the first try on
        long asked;
        long inAim;
        long served;
        long refused;
        long failed;
        long tries;

        ClassService(RequestKind kind) {
            this.kind = kind;
        }

        public Histogram latency() {
            return latency;
        }

        public String name() {
            return kind.name();
        }

        public double inAimShare() {
            return asked == 0 ? 1 : (double) inAim / asked;
        }
    }

    private final double startedAt;
    private final List<ClassService> classes = new ArrayList<>();
    private final Scenario scenario;
    private final List<double[][]> tenantSeconds = new ArrayList<>(); // by second and tenant: asked, in aim
    private final List<double[]> seconds = new ArrayList<>(); // worth asked, worth in aim, by the second asked in

    public Service(Scenario scenario, double startedAt) {
        this.startedAt = startedAt;
        this.scenario = scenario;
        scenario.classes().forEach(k -> classes.add(new ClassService(k)));
    }

    @Override
    public void requestEnded(int kind, int tenant, double askedAt, double tookMs, int tries, Type last) {
        double at = askedAt - startedAt;
        ClassService c = classes.get(kind);
        boolean inAim = tookMs <= c.kind.targetLatencyMs();
        int second = (int) Math.max(0, at / 1000);
        while (seconds.size() <= second) {
            seconds.add(new double[2]);
        }
        if (tenant >= 0) {
            while (tenantSeconds.size() <= second) {
                tenantSeconds.add(new double[scenario.subjects().tenants().size()][2]);
            }
            tenantSeconds.get(second)[tenant][0] += c.kind.value();
            tenantSeconds.get(second)[tenant][1] += inAim ? c.kind.value() : 0;
        }
        seconds.get(second)[0] += c.kind.value();
        seconds.get(second)[1] += inAim ? c.kind.value() : 0;
        if (at < FROM_MS) {
            return;
        }
        c.asked++;
        c.tries += tries;
        c.inAim += inAim ? 1 : 0;
        if (!Double.isNaN(tookMs)) {
            c.served++;
            c.latency.recordValue(Math.min(MOST_US, Math.round(tookMs * 1000)));
        } else if (last == Type.REFUSED) {
            c.refused++;
        } else {
            c.failed++;
        }
    }

    public List<ClassService> classes() {
        return classes;
    }

    /** The worth asked and the worth answered in its aim, for each second of the run. */
    public List<double[]> seconds() {
        return seconds;
    }

    public double share() {
        double asked =
                classes.stream().mapToDouble(c -> c.asked * c.kind.value()).sum();
        return asked == 0
                ? 1
                : classes.stream().mapToDouble(c -> c.inAim * c.kind.value()).sum() / asked;
    }

    public double worstClass() {
        return classes.stream().mapToDouble(ClassService::inAimShare).min().orElse(1);
    }

    /**
     * The service of the tenant served worst, within its share: what it asks for beyond its allowance in a second
     * counts only by the worth that such requests have. 1 without tenants.
     */
    public double worstTenant() {
        double worst = 1;
        double meanWorth = asked() == 0
                ? 1
                : classes.stream().mapToDouble(c -> c.asked * c.kind.value()).sum() / asked();
        for (int t = 0; t < scenario.subjects().tenants().size(); t++) {
            double allowed = scenario.allowancePerS(t) * meanWorth;
            double asked = 0;
            double got = 0;
            for (double[][] second : tenantSeconds.subList(Math.min(1, tenantSeconds.size()), tenantSeconds.size())) {
                double within = second[t][0] <= 0 ? 0 : Math.min(1, allowed / second[t][0]);
                double counted = second[t][0]
                        * (within + (1 - within) * scenario.subjects().overShareValueFactor());
                asked += counted;
                got += Math.min(counted, second[t][1]); // what is served counts as what is within the share first
            }
            worst = asked > 0 ? Math.min(worst, got / asked) : worst;
        }
        return worst;
    }

    /** The service of the worst ten seconds. */
    public double worstSpell() {
        double worst = 1;
        for (int i = 1; i + SPELL <= seconds.size(); i++) {
            double asked = 0;
            double got = 0;
            for (double[] s : seconds.subList(i, i + SPELL)) {
                asked += s[0];
                got += s[1];
            }
            worst = asked > 0 ? Math.min(worst, got / asked) : worst;
        }
        return worst;
    }

    /**
     * Seconds until the service was at least {@code level} for three seconds running, counted from that time; or -1.
     */
    public int backAfter(double fromMs, double level) {
        int from = (int) (fromMs / 1000);
        for (int i = from; i + 3 <= seconds.size(); i++) {
            boolean back = seconds.subList(i, i + 3).stream().allMatch(s -> s[0] == 0 || s[1] / s[0] >= level);
            if (back) {
                return i - from;
            }
        }
        return -1;
    }

    public long asked() {
        return classes.stream().mapToLong(c -> c.asked).sum();
    }

    public double part(java.util.function.ToLongFunction<ClassService> figure) {
        return asked() == 0 ? 0 : (double) classes.stream().mapToLong(figure).sum() / asked();
    }

    public double refusedShare() {
        return part(c -> c.refused);
    }

    public double failedShare() {
        return part(c -> c.failed);
    }

    public double attemptsPerRequest() {
        return part(c -> c.tries);
    }

    public Histogram latency() {
        Histogram all = new Histogram(MOST_US, 3);
        classes.forEach(c -> all.add(c.latency));
        return all;
    }
}
