package dewplank.quota;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;

/**
 * Simulates control planes and data planes that enforce a quota, in virtual time, with drifting clocks and faults. It
 * records which shares are in force at each moment, every granted token and every admitted request. The lease of the
 * assigner's role is assumed to be exclusive: at most one control plane has it at a time, with a higher fencing token
 * each time.
 */
final class QuotaSimulation {
    static final double HEARTBEAT_MS = 300;
    static final List<String> TENANTS = List.of("crew", "kitchen", "pilot");
    private static final double ROUNDING = 1e-9;

    /** The number of tokens that were granted, or of requests that were admitted, at one moment of real time. */
    record CountAt(double atMs, String tenant, int count) {}

    /** A limit that a control plane applied during an interval of real time. */
    record AppliedLimit(double fromMs, double untilMs, TenantLimit limit) {}

    private record ScheduledEvent(double atMs, long order, Runnable action) implements Comparable<ScheduledEvent> {
        @Override
        public int compareTo(ScheduledEvent other) {
            int byTime = Double.compare(atMs, other.atMs);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private final Random random;
    private final QuotaBounds bounds;
    private final PriorityQueue<ScheduledEvent> events = new PriorityQueue<>();
    private final List<SimulatedControlPlane> controlPlanes = new ArrayList<>();
    private final List<CountAt> granted = new ArrayList<>();
    private final List<CountAt> admitted = new ArrayList<>();
    private final List<AppliedLimit> pastLimits = new ArrayList<>();
    private List<TenantLimit> newestLimits = List.of();
    private double nowMs;
    private long eventsAdded;
    private long fencingToken;
    private SimulatedControlPlane roleHolder;
    private double lossRate;
    private double delayRate;
    private double largestSumOfShares;

    QuotaSimulation(Random random, QuotaBounds bounds, int controlPlaneCount) {
        this.random = random;
        this.bounds = bounds;
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
            ScheduledEvent event = events.poll();
            nowMs = event.atMs();
            event.action().run();
        }
        nowMs = untilMs;
    }

    void after(double delayMs, Runnable action) {
        events.add(new ScheduledEvent(nowMs + delayMs, eventsAdded++, action));
    }

    // ---- faults ---------------------------------------------------------------------------------------

    List<SimulatedControlPlane> controlPlanes() {
        return controlPlanes;
    }

    void injectMessageFaults(double newLossRate, double newDelayRate) {
        lossRate = newLossRate;
        delayRate = newDelayRate;
    }

    void clearFaults() {
        injectMessageFaults(0, 0);
        for (SimulatedControlPlane controlPlane : controlPlanes) {
            controlPlane.unreachablePeers.clear();
            controlPlane.pausedUntilMs = nowMs;
            controlPlane.start();
        }
    }

    void changeLimits(List<TenantLimit> limits) {
        newestLimits = limits;
        for (SimulatedControlPlane controlPlane : controlPlanes) {
            after(
                    random.nextDouble() * 1_000,
                    () -> controlPlane.runWhenResumed(() -> controlPlane.applyLimits(limits)));
        }
    }

    /** Ends the lease of the role. After a vacancy a random control plane acquires it if it is running. */
    void endRoleLease(double vacancyMs) {
        if (roleHolder != null) {
            SimulatedControlPlane previousHolder = roleHolder;
            roleHolder = null;
            previousHolder.runWhenResumed(() -> {
                if (roleHolder != previousHolder) {
                    previousHolder.assigner.end();
                }
            });
        }
        after(vacancyMs, this::acquireRole);
    }

    private void acquireRole() {
        SimulatedControlPlane newHolder = controlPlanes.get(random.nextInt(controlPlanes.size()));
        if (roleHolder == null && newHolder.isRunning()) {
            roleHolder = newHolder;
            fencingToken++;
            newHolder.assigner.begin(newHolder.clockMs(), fencingToken);
        }
    }

    boolean isRoleVacant() {
        return roleHolder == null;
    }

    // ---- results --------------------------------------------------------------------------------------

    double largestSumOfShares() {
        return largestSumOfShares;
    }

    List<CountAt> granted() {
        return granted;
    }

    List<CountAt> admitted() {
        return admitted;
    }

    /** All limits that any control plane has applied up to now. */
    List<AppliedLimit> appliedLimits() {
        List<AppliedLimit> all = new ArrayList<>(pastLimits);
        for (SimulatedControlPlane controlPlane : controlPlanes) {
            for (TenantLimit limit : controlPlane.limits) {
                all.add(new AppliedLimit(controlPlane.limitsFromMs, nowMs, limit));
            }
        }
        return all;
    }

    /** Checks the sum after each applied grant, which suffices because shares grow only then. */
    private void checkSumOfShares() {
        double sum = 0;
        for (SimulatedControlPlane controlPlane : controlPlanes) {
            sum += controlPlane.isStarted ? controlPlane.fraction() : 0;
        }
        largestSumOfShares = Math.max(largestSumOfShares, sum);
        assertTrue(sum <= 1 + ROUNDING, "shares of " + sum + " in force at " + nowMs + " ms");
    }

    private double messageDelayMs() {
        return random.nextDouble() < delayRate ? random.nextDouble() * 5_000 : 1 + random.nextDouble() * 20;
    }

    /** A random rate, often the fastest or the slowest that a clock may have. */
    private double randomClockRate() {
        double drift = Math.max(-1, Math.min(1, 4 * random.nextDouble() - 2));
        return 1 + drift * ShareLease.MAX_CLOCK_DRIFT;
    }

    /** One control plane's process, which loses its state with each restart, and the clock of its machine. */
    final class SimulatedControlPlane {
        private final String address;
        private final double clockRate = randomClockRate();
        private final double clockOffsetMs = random.nextDouble() * 1e6;
        private final List<SimulatedControlPlane> unreachablePeers = new ArrayList<>();
        private LeasedShare share;
        private QuotaBuckets buckets;
        private ShareAssigner assigner;
        private List<TenantLimit> limits = List.of();
        private double limitsFromMs;
        private boolean isStarted;
        private int incarnation;
        private double pausedUntilMs;

        private SimulatedControlPlane(String address) {
            this.address = address;
        }

        double clockMs() {
            return clockOffsetMs + nowMs * clockRate;
        }

        private boolean isRunning() {
            return isStarted && nowMs >= pausedUntilMs;
        }

        /** The share that is in force at this control plane now. */
        double fraction() {
            return share.fraction(clockMs());
        }

        void start() {
            if (isStarted) {
                return;
            }
            isStarted = true;
            incarnation++;
            pausedUntilMs = nowMs;
            share = new LeasedShare();
            buckets = new QuotaBuckets(bounds);
            assigner = new ShareAssigner();
            applyLimits(newestLimits);
            after(random.nextDouble() * HEARTBEAT_MS, () -> runWhenResumed(this::sendHeartbeats));
        }

        void crash() {
            if (!isStarted) {
                return;
            }
            isStarted = false;
            applyLimits(List.of());
            if (roleHolder == this) {
                roleHolder = null;
                after(random.nextDouble() * 2_000, QuotaSimulation.this::acquireRole);
            }
        }

        void pause(double durationMs) {
            pausedUntilMs = nowMs + durationMs;
        }

        void blockMessagesTo(SimulatedControlPlane other) {
            unreachablePeers.add(other);
        }

        /** Runs the action in this incarnation, now or after the pause; delayed actions then run in any order. */
        private void runWhenResumed(Runnable action) {
            int expected = incarnation;
            if (!isStarted) {
                return;
            }
            if (nowMs >= pausedUntilMs) {
                action.run();
                return;
            }
            after(pausedUntilMs - nowMs + random.nextDouble() * 5, () -> {
                if (incarnation == expected) {
                    runWhenResumed(action);
                }
            });
        }

        private void send(SimulatedControlPlane receiver, Runnable action) {
            boolean lost = random.nextDouble() < lossRate || unreachablePeers.contains(receiver);
            if (receiver != this && lost) {
                return;
            }
            int expected = receiver.incarnation;
            after(receiver == this ? 0 : messageDelayMs(), () -> {
                if (receiver.incarnation == expected) {
                    receiver.runWhenResumed(action);
                }
            });
        }

        private void sendHeartbeats() {
            double sentAtMs = clockMs();
            int senderIncarnation = incarnation;
            ShareReport report = share.report(sentAtMs);
            for (SimulatedControlPlane receiver : controlPlanes) {
                send(receiver, () -> receiver.acknowledge(this, senderIncarnation, sentAtMs, report));
            }
            after(HEARTBEAT_MS / clockRate, () -> runWhenResumed(this::sendHeartbeats));
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
            share.onGrant(clockMs(), sentAtMs, grant);
            buckets.updateShare(clockMs(), share.fraction(clockMs()), share.expiresAtMs());
            checkSumOfShares();
        }

        private void applyLimits(List<TenantLimit> newLimits) {
            for (TenantLimit limit : limits) {
                pastLimits.add(new AppliedLimit(limitsFromMs, nowMs, limit));
            }
            limits = newLimits;
            limitsFromMs = nowMs;
            buckets.updateLimits(clockMs(), newLimits);
        }

        /** Requests tokens from this control plane; it replies only if it is running now. */
        TakeResult take(String tenant, int tokens) {
            if (!isRunning()) {
                return new TakeResult.NoShare();
            }
            TakeResult result = buckets.take(clockMs(), tenant, tokens);
            if (result instanceof TakeResult.Granted grant) {
                granted.add(new CountAt(nowMs, tenant, grant.tokens()));
            }
            return result;
        }
    }

    /** One data plane's tokens of one tenant. The tenant sends requests at a constant average rate. */
    final class SimulatedDataPlane {
        private final String tenant;
        private final double intervalMs;
        private final TokenCache cache = new TokenCache(bounds.tokenLifetimeMs());
        private final double clockRate = randomClockRate();

        SimulatedDataPlane(String tenant, double intervalMs) {
            this.tenant = tenant;
            this.intervalMs = intervalMs;
            after(random.nextDouble() * intervalMs, this::onRequest);
        }

        private double clockMs() {
            return nowMs * clockRate;
        }

        private void onRequest() {
            cache.recordRequest(clockMs());
            if (!tryAdmit() && !cache.isExhausted(clockMs())) {
                requestTokens();
            }
            after(random.nextDouble() * 2 * intervalMs, this::onRequest);
        }

        private boolean tryAdmit() {
            boolean taken = cache.tryTake(clockMs());
            if (taken) {
                admitted.add(new CountAt(nowMs, tenant, 1));
            }
            return taken;
        }

        private void requestTokens() {
            double requestedAtMs = clockMs();
            int tokens = cache.tokensToRequest(requestedAtMs);
            SimulatedControlPlane controlPlane = controlPlanes.get(random.nextInt(controlPlanes.size()));
            after(messageDelayMs(), () -> {
                TakeResult result = controlPlane.take(tenant, tokens);
                after(messageDelayMs(), () -> onResult(result, requestedAtMs));
            });
        }

        private void onResult(TakeResult result, double requestedAtMs) {
            if (result instanceof TakeResult.Granted grant) {
                cache.add(clockMs(), grant.tokens(), requestedAtMs);
                tryAdmit();
            } else if (result instanceof TakeResult.Exhausted exhausted) {
                cache.recordExhausted(clockMs(), exhausted.nextTokenAfterMs());
            }
        }
    }
}
