package dewplank.balancer.adaptive;

import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.RequestClass;
import java.util.ArrayList;
import java.util.List;

/** A request, from its arrival until it is complete and none of its attempts is in flight. */
final class PendingRequest {
    final long id;
    final ClassStats stats;
    final String key;
    final double arrivedAtMs;
    final double deadlineAtMs;
    final Double costMs;
    final double value;
    /** The value per unit of work, weighted by the goal. */
    final double density;

    final List<Attempt> attempts = new ArrayList<>();
    /** The server that most likely has the key cached, or null. */
    ServerState cachingServer;

    boolean isComplete;
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

    RequestClass requestClass() {
        return stats.requestClass;
    }

    boolean isSafe() {
        return stats.requestClass.idempotency() == Idempotency.SAFE;
    }

    boolean isUnsafe() {
        return stats.requestClass.idempotency() == Idempotency.UNSAFE;
    }

    /**
     * The work in milliseconds of a standard core: as stated by the request, otherwise typical of its
     * class.
     */
    double workMs() {
        return costMs == null ? stats.work.value : costMs;
    }

    double targetAtMs() {
        RequestClass requestClass = stats.requestClass;
        double costOrZeroMs = costMs == null ? 0 : costMs;
        double targetMs = requestClass.latencyTargetMs() + requestClass.latencyTargetPerWork() * costOrZeroMs;
        return arrivedAtMs + Math.min(targetMs, requestClass.deadlineMs());
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

    /** The number of attempts that may have had their effect, including those in flight. */
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
