package dewplank.emulator.scenario;

import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;

/**
 * A class of requests.
 *
 * @param weight weight of the class in the distribution of requests over classes
 * @param work mean work of a request
 * @param cv coefficient of variation of the work
 * @param waitMs mean time that a request waits on dependencies after its work, holding a slot but no core; 0 for none
 * @param targetLatencyMs latency target, within which a response has its full value
 * @param deadlineMs time after which clients stop waiting
 * @param value value of a response within the latency target, relative to other classes
 * @param deduplicationScope set of servers that deduplicate keyed requests
 * @param deduplicationWindowMs time for which they deduplicate a keyed request
 */
public record RequestClassSpec(
        String name,
        double weight,
        double work,
        Distribution distribution,
        double cv,
        double waitMs,
        double targetLatencyMs,
        double deadlineMs,
        double value,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        double deduplicationWindowMs) {}
