package dewplank.emulator.scenario;

import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;

/**
 * A class of requests.
 *
 * @param weight of the class among all classes, by number of requests
 * @param work mean work of a request
 * @param cv coefficient of variation of the work
 * @param waitMs mean time that a request waits on others after its work, on a slot and off the cores; 0 for none
 * @param targetLatencyMs within which a response has its full value
 * @param deadlineMs after which no client waits
 * @param value of a response in time, relative to other classes
 * @param deduplicationScope servers that recognise repeats of a keyed request
 * @param deduplicationWindowMs for which they do
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
