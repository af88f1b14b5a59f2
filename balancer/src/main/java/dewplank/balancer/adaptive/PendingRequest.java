package dewplank.balancer.adaptive;

import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** A request from its arrival until it is over and none of its attempts is in flight. */
final class PendingRequest {
    final long id;
    final ClassStats stats;
    final String key;
    final double arrivedAtMs;
    final double deadlineAtMs;
    final Double costMs;
    final double value;
    /** Value per unit of work, weighed by the goal. */
    final double density;

    final List<Attempt> attempts = new ArrayList<>();
    /** The server that most likely has the key cached; null where none is preferred. */
    ServerState cachingServer;

    boolean isOver;
    boolean isStreaming;

    PendingRequest(RequestArrived event, ClassStats stats, double nowMs, double value, double density) {
        this.id = event.request();
        this.stats = stats;
        this.key = event.key();
        this.arrivedAtMs = nowMs;
        this.deadlineAtMs = nowMs + event.budgetMs();
        this.costMs = event.costMs();
        this.value = value;
        this.density = density;
    }

    RequestClass rules() {
        return stats.rules;
    }

    boolean isSafe() {
        return stats.rules.idempotency() == Idempotency.SAFE;
    }

    boolean isUnsafe() {
        return stats.rules.idempotency() == Idempotency.UNSAFE;
    }

    /** In milliseconds of a standard core, as stated or as its class usually takes. */
    double workMs() {
        return costMs == null ? stats.work.value : costMs;
    }

    double targetAtMs() {
        RequestClass rules = stats.rules;
        double statedMs = costMs == null ? 0 : costMs;
        double targetMs = rules.latencyTargetMs() + rules.latencyTargetPerWork() * statedMs;
        return arrivedAtMs + Math.min(targetMs, rules.deadlineMs());
    }

    double targetMs() {
        return targetAtMs() - arrivedAtMs;
    }

    boolean hasAttemptInFlight() {
        for (Attempt attempt : attempts) {
            if (attempt.isInFlight()) {
                return true;
            }
        }
        return false;
    }

    /** Attempts that may have had their effect, those in flight included. */
    int attemptsThatMayHaveRun() {
        int count = 0;
        for (Attempt attempt : attempts) {
            count += attempt.state == Attempt.State.NEVER_RAN ? 0 : 1;
        }
        return count;
    }

    boolean wasSentTo(ServerState server) {
        for (Attempt attempt : attempts) {
            if (attempt.server == server) {
                return true;
            }
        }
        return false;
    }
}
