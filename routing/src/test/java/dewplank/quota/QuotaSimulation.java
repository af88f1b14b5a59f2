package dewplank.quota;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Control planes and data planes under a quota in virtual time, with drifting clocks and faults: the truth about which
 * shares are in force at a moment, and about every token that was granted and used. The lease of the assigner's role is
 * taken as kept: at most one control plane holds it at a time, under a higher fencing token each time.
 */
final class QuotaSimulation {
    static final double HEARTBEAT_MS = 300;
    static final List<String> TENANTS = List.of("crew", "kitchen", "pilot");
    private static final double ROUNDING = 1e-9;

    /** Tokens that were granted, or requests that were admitted, at one moment of true time. */
    record Admitted(double atMs, String tenant, int count) {}

    /** A limit that a control plane acted on, in true time. */
    record LimitInForce(double fromMs, double untilMs, TenantLimit limit) {}

    private record Event(double atMs, long order, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final Random random;
    private final QuotaTerms terms;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<SimulatedControlPlane> controlPlanes = new ArrayList<>();
    private final List<Admitted> granted = new ArrayList<>();
    private final List<Admitted> used = new ArrayList<>();
    private final List<LimitInForce> pastLimits = new ArrayList<>();
    private List<TenantLimit> newestLimits = List.of();
    private double nowMs;
    private long eventsAdded;
    private long fencingToken;
    private SimulatedControlPlane roleHolder;
    private double lossRate;
    private double delayRate;
    private double largestSumOfShares;

    QuotaSimulation(Random random, QuotaTerms terms, int controlPlaneCount) {
        this.random = random;
        this.terms = terms;
        for (int index = 0; index < controlPlaneCount; index++) {
            controlPlanes.add(new SimulatedControlPlane("10.0.0." + index));
        }
        controlPlanes.forEach(SimulatedControlPlane::start);
    }

    // ---- time -----------------------------------------------------------------------------------------

    double nowMs() {
        return nowMs;
    }

    void runUntil(double untilMs) {
        while (!events.isEmpty() && events.peek().atMs() <= untilMs) {
            Event event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
        nowMs = untilMs;
    }

    void after(double delayMs, Runnable action) {
        events.add(new Event(nowMs + delayMs, eventsAdded++, action));
    }

    // ---- faults ---------------------------------------------------------------------------------------

    List<SimulatedControlPlane> controlPlanes() {
        return controlPlanes;
    }

    void injectMessageFaults(double newLossRate, double newDelayRate) {
        lossRate = newLossRate;
        delayRate = newDelayRate;
    }

    void healAll() {
        injectMessageFaults(0, 0);
        for (SimulatedControlPlane controlPlane : controlPlanes) {
            controlPlane.unreachable.clear();
            controlPlane.frozenUntilMs = nowMs;
            controlPlane.start();
        }
    }

    void changeLimits(List<TenantLimit> limits) {
        newestLimits = limits;
        for (SimulatedControlPlane controlPlane : controlPlanes) {
            after(random.nextDouble() * 1_000, () -> controlPlane.handle(() -> controlPlane.takeLimits(limits)));
        }
    }

    /** The role's lease ends; another one is won after a vacancy, by whichever control plane is then up. */
    void loseRole(double vacancyMs) {
        if (roleHolder != null) {
            SimulatedControlPlane loser = roleHolder;
            roleHolder = null;
            loser.handle(() -> {
                if (roleHolder != loser) {
                    loser.assigner.end();
                }
            });
        }
        after(vacancyMs, this::winRole);
    }

    private void winRole() {
        SimulatedControlPlane winner = controlPlanes.get(random.nextInt(controlPlanes.size()));
        if (roleHolder == null && winner.isRunning()) {
            roleHolder = winner;
            fencingToken++;
            winner.assigner.begin(winner.clockMs(), fencingToken);
        }
    }

    boolean isRoleVacant() {
        return roleHolder == null;
    }

    // ---- the truth ------------------------------------------------------------------------------------

    double largestSumOfShares() {
        return largestSumOfShares;
    }

    List<Admitted> granted() {
        return granted;
    }

    List<Admitted> used() {
        return used;
    }

    /** All limits that any control plane has acted on up to now. */
    List<LimitInForce> limitsInForce() {
        List<LimitInForce> all = new ArrayList<>(pastLimits);
        for (SimulatedControlPlane controlPlane : controlPlanes) {
            for (TenantLimit limit : controlPlane.limits) {
                all.add(new LimitInForce(controlPlane.limitsFromMs, nowMs, limit));
            }
        }
        return all;
    }

    /** Shares only grow when a grant is applied, so it is enough to look then. */
    private void checkSumOfShares() {
        double sum = 0;
        for (SimulatedControlPlane controlPlane : controlPlanes) {
            sum += controlPlane.isUp ? controlPlane.fraction() : 0;
        }
        largestSumOfShares = Math.max(largestSumOfShares, sum);
        assertTrue(sum <= 1 + ROUNDING, "shares of " + sum + " in force at " + nowMs + " ms");
    }

    private double messageDelayMs() {
        return random.nextDouble() < delayRate ? random.nextDouble() * 5_000 : 1 + random.nextDouble() * 20;
    }

    /** Often the fastest or the slowest that a clock may be. */
    private double drawClockRate() {
        double drift = Math.max(-1, Math.min(1, 4 * random.nextDouble() - 2));
        return 1 + drift * ShareLease.MAX_CLOCK_DRIFT;
    }

    /** One control plane's process, which loses all it knows with each restart, and its machine's clock. */
    final class SimulatedControlPlane {
        private final String address;
        private final double clockRate = drawClockRate();
        private final double clockOffsetMs = random.nextDouble() * 1e6;
        private final List<SimulatedControlPlane> unreachable = new ArrayList<>();
        private HeldShare held;
        private QuotaBuckets buckets;
        private ShareAssigner assigner;
        private List<TenantLimit> limits = List.of();
        private double limitsFromMs;
        private boolean isUp;
        private int incarnation;
        private double frozenUntilMs;

        private SimulatedControlPlane(String address) {
            this.address = address;
        }

        double clockMs() {
            return clockOffsetMs + nowMs * clockRate;
        }

        private boolean isRunning() {
            return isUp && nowMs >= frozenUntilMs;
        }

        /** The share in force here at this moment. */
        double fraction() {
            return held.fraction(clockMs());
        }

        void start() {
            if (isUp) {
                return;
            }
            isUp = true;
            incarnation++;
            frozenUntilMs = nowMs;
            held = new HeldShare();
            buckets = new QuotaBuckets(terms);
            assigner = new ShareAssigner();
            takeLimits(newestLimits);
            after(random.nextDouble() * HEARTBEAT_MS, () -> handle(this::sendHeartbeats));
        }

        void kill() {
            if (!isUp) {
                return;
            }
            isUp = false;
            takeLimits(List.of());
            if (roleHolder == this) {
                roleHolder = null;
                after(random.nextDouble() * 2_000, QuotaSimulation.this::winRole);
            }
        }

        void freeze(double durationMs) {
            frozenUntilMs = nowMs + durationMs;
        }

        void cut(SimulatedControlPlane other) {
            unreachable.add(other);
        }

        /** Runs in this incarnation, now or as soon as it is not frozen; what waits for that then runs in any order. */
        private void handle(Runnable action) {
            int expected = incarnation;
            if (!isUp) {
                return;
            }
            if (nowMs >= frozenUntilMs) {
                action.run();
                return;
            }
            after(frozenUntilMs - nowMs + random.nextDouble() * 5, () -> {
                if (incarnation == expected) {
                    handle(action);
                }
            });
        }

        private void send(SimulatedControlPlane receiver, Runnable action) {
            boolean lost = random.nextDouble() < lossRate || unreachable.contains(receiver);
            if (receiver != this && lost) {
                return;
            }
            int expected = receiver.incarnation;
            after(receiver == this ? 0 : messageDelayMs(), () -> {
                if (receiver.incarnation == expected) {
                    receiver.handle(action);
                }
            });
        }

        private void sendHeartbeats() {
            double sentAtMs = clockMs();
            int senderIncarnation = incarnation;
            ShareReport report = held.report(sentAtMs);
            for (SimulatedControlPlane receiver : controlPlanes) {
                send(receiver, () -> receiver.acknowledge(this, senderIncarnation, sentAtMs, report));
            }
            after(HEARTBEAT_MS / clockRate, () -> handle(this::sendHeartbeats));
        }

        private void acknowledge(
                SimulatedControlPlane sender, int senderIncarnation, double sentAtMs, ShareReport report) {
            if (roleHolder != this) {
                return;
            }
            assigner.onReport(clockMs(), sender.address, report)
                    .ifPresent(grant -> send(sender, () -> {
                        if (sender.incarnation == senderIncarnation) {
                            sender.applyGrant(sentAtMs, grant);
                        }
                    }));
        }

        private void applyGrant(double sentAtMs, ShareGrant grant) {
            held.onGrant(clockMs(), sentAtMs, grant);
            buckets.updateShare(clockMs(), held.fraction(clockMs()), held.endsAtMs());
            checkSumOfShares();
        }

        private void takeLimits(List<TenantLimit> newLimits) {
            for (TenantLimit limit : limits) {
                pastLimits.add(new LimitInForce(limitsFromMs, nowMs, limit));
            }
            limits = newLimits;
            limitsFromMs = nowMs;
            buckets.updateLimits(clockMs(), newLimits);
        }

        /** Asks this control plane for tokens, if it can answer at this moment. */
        TakeResult take(String tenant, int tokens) {
            if (!isRunning()) {
                return new TakeResult.NoShare();
            }
            TakeResult result = buckets.take(clockMs(), tenant, tokens);
            if (result instanceof TakeResult.Granted grant) {
                granted.add(new Admitted(nowMs, tenant, grant.tokens()));
            }
            return result;
        }
    }

    /** One data plane's stock of one tenant's tokens, at a tenant that sends at a steady rate on average. */
    final class SimulatedDataPlane {
        private final String tenant;
        private final double intervalMs;
        private final TokenStock stock = new TokenStock(terms.tokenLifetimeMs());
        private final double clockRate = drawClockRate();

        SimulatedDataPlane(String tenant, double intervalMs) {
            this.tenant = tenant;
            this.intervalMs = intervalMs;
            after(random.nextDouble() * intervalMs, this::onRequest);
        }

        private double clockMs() {
            return nowMs * clockRate;
        }

        private void onRequest() {
            stock.recordRequest(clockMs());
            if (!tryUse() && !stock.isRefused(clockMs())) {
                ask();
            }
            after(random.nextDouble() * 2 * intervalMs, this::onRequest);
        }

        private boolean tryUse() {
            boolean taken = stock.tryTake(clockMs());
            if (taken) {
                used.add(new Admitted(nowMs, tenant, 1));
            }
            return taken;
        }

        private void ask() {
            double requestedAtMs = clockMs();
            int tokens = stock.tokensToRequest(requestedAtMs);
            SimulatedControlPlane asked = controlPlanes.get(random.nextInt(controlPlanes.size()));
            after(messageDelayMs(), () -> {
                TakeResult result = asked.take(tenant, tokens);
                after(messageDelayMs(), () -> onResult(result, requestedAtMs));
            });
        }

        private void onResult(TakeResult result, double requestedAtMs) {
            if (result instanceof TakeResult.Granted grant) {
                stock.add(clockMs(), grant.tokens(), requestedAtMs);
                tryUse();
            } else if (result instanceof TakeResult.Exhausted exhausted) {
                stock.recordRefusal(clockMs(), exhausted.untilNextMs());
            }
        }
    }
}
