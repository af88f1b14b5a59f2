package dewplank.routing;

import dewplank.balancer.WeightedDraw;
import java.util.ArrayList;
import java.util.List;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.random.RandomGenerator;

/**
 * The pick: two weighted draws among the ready servers that are free of an unhealthy verdict, and of the two the one
 * with
 * the lesser load. Times in milliseconds.
 */
public final class ServerPicker {

    private static final double MS_PER_SECOND = 1_000;
    private static final RoutingParameters.Ejection EJECTION = RoutingParameters.DEFAULTS.ejection();
    private static final RoutingParameters.Draw DRAW = RoutingParameters.DEFAULTS.draw();

    /** What one pick asks for. */
    public record PickArguments(
            List<TrackedServer> servers,
            Predicate<TrackedServer> allowed,
            ToDoubleFunction<TrackedServer> load,
            TrackedServer preferred,
            double preference,
            boolean allowsTrial) {
        /** Any of the servers, by requests in flight. */
        public static PickArguments byInFlight(
                List<TrackedServer> servers, Predicate<TrackedServer> allowed, boolean mayTry) {
            return new PickArguments(servers, allowed, TrackedServer::inFlight, null, 0, mayTry);
        }
    }

    private final String ownZone;
    private final HealthVotes votes;
    private final IntSupplier sidecars;
    private final RandomGenerator random;
    private final Policy policy;

    /** For one sidecar by itself. */
    public ServerPicker(String ownZone, HealthVotes votes, RandomGenerator random) {
        this(ownZone, votes, () -> 1, random, Policy.ALL_ENABLED);
    }

    /**
     * @param sidecars how many sidecars send to the same servers, this one among them
     */
    public ServerPicker(
            String ownZone, HealthVotes votes, IntSupplier sidecars, RandomGenerator random, Policy policy) {
        this.policy = policy;
        this.ownZone = ownZone;
        this.votes = votes;
        this.sidecars = sidecars;
        this.random = random;
    }

    /** Which mechanisms decide. */
    public Policy policy() {
        return policy;
    }

    /** Whether the votes of this sidecar and its peers find the server unhealthy. */
    public boolean isEjected(double now, TrackedServer s) {
        if (now - s.verdictAtMs() >= EJECTION.verdictValidMs()) {
            judge(now, s);
        }
        return s.isEjected();
    }

    /** An outcome was observed: the verdict may turn. */
    public void recordOutcome(double now, TrackedServer s, String context, boolean healthy) {
        s.outcomes().record(now, context, healthy);
        judge(now, s);
        if (healthy) {
            s.resetBackoff();
        }
    }

    /** The first trial of a verdict comes at a time of its own at each sidecar, the next ones at the same pace. */
    private void judge(double now, TrackedServer s) {
        boolean before = s.isEjected();
        s.recordVerdict(now, votes.isEjected(now, s.instanceId(), s.outcomes()));
        if (s.isEjected() && !before) {
            s.recordTrial(now - random.nextDouble() * trialPauseMs());
        }
    }

    private double trialPauseMs() {
        double share = policy.isEnabled(Mechanism.FLEET_TRIALS) ? sidecars.getAsInt() / EJECTION.trialsPerSecond() : 0;
        return Math.max(EJECTION.minTrialIntervalMs(), MS_PER_SECOND * share);
    }

    /** A server, or null where none may be sent to. */
    public TrackedServer pick(double now, PickArguments query) {
        List<TrackedServer> ready = new ArrayList<>();
        List<TrackedServer> free = new ArrayList<>();
        for (TrackedServer s : query.servers()) {
            if (s.isReady()) {
                ready.add(s);
                if (!isEjected(now, s)) {
                    free.add(s);
                }
            }
        }
        boolean enoughFree = 2 * free.size() >= ready.size();
        if (enoughFree && query.allowsTrial()) {
            TrackedServer trial = trial(now, ready, query);
            if (trial != null) {
                return trial;
            }
        }
        return pickTwo(now, enoughFree ? free : ready, query);
    }

    /** The servers among which draws are made now. */
    public List<TrackedServer> eligibleServers(double now, List<TrackedServer> servers) {
        List<TrackedServer> ready =
                servers.stream().filter(TrackedServer::isReady).toList();
        List<TrackedServer> free =
                ready.stream().filter(s -> !isEjected(now, s)).toList();
        return 2 * free.size() >= ready.size() ? free : ready;
    }

    private TrackedServer trial(double now, List<TrackedServer> ready, PickArguments query) {
        for (TrackedServer s : ready) {
            if (s.isEjected()
                    && now - s.lastTrialAtMs() >= trialPauseMs()
                    && query.allowed().test(s)) {
                s.recordTrial(now);
                return s;
            }
        }
        return null;
    }

    private TrackedServer pickTwo(double now, List<TrackedServer> drawable, PickArguments query) {
        List<TrackedServer> fitting = new ArrayList<>();
        for (TrackedServer s : drawable) {
            if ((!s.isBackingOff(now) || !policy.isEnabled(Mechanism.RESTING))
                    && query.allowed().test(s)) {
                fitting.add(s);
            }
        }
        if (fitting.isEmpty()) {
            return null;
        }
        boolean usePreferred = query.preferred() != null && fitting.contains(query.preferred());
        TrackedServer first = usePreferred ? query.preferred() : WeightedDraw.draw(fitting, null, this::weight, random);
        TrackedServer second = WeightedDraw.draw(fitting, first, this::weight, random);
        if (second == null || !policy.isEnabled(Mechanism.TWO_CHOICES)) {
            return first;
        }
        double bonus = usePreferred ? query.preference() : 0;
        return query.load().applyAsDouble(first) - bonus <= query.load().applyAsDouble(second) ? first : second;
    }

    private double weight(TrackedServer s) {
        double health = policy.isEnabled(Mechanism.WEIGHTS) ? s.outcomes().weight() : 1;
        return health * (s.zone().equals(ownZone) || !policy.isEnabled(Mechanism.ZONE) ? 1 : DRAW.crossZoneWeight());
    }
}
