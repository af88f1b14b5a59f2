package dewplank.emulator.scenario;

import java.util.Optional;

/**
 * An injected fault: its time, duration, targets and magnitude.
 *
 * @param atMs time of the fault, counted from the start of the run
 * @param durationMs duration of the fault; for a crash, the time until the server restarts
 * @param affectedFraction fraction of the servers that are affected; of the sidecars for {@link FaultKind#SIDECAR_KILL}
 * @param magnitude depends on the kind: slowdown factor, fraction of cores, load factor, fraction of requests, or
 *     milliseconds
 * @param intervalMs interval of faults that recur; for a deploy, the drain time of a server
 * @param target affected class or tenant; empty if all are affected
 */
public record Fault(
        FaultKind kind,
        double atMs,
        double durationMs,
        double affectedFraction,
        double magnitude,
        double intervalMs,
        Optional<String> target) {

    /** Returns a copy with the given affected fraction. */
    Fault withAffectedFraction(double newFraction) {
        return new Fault(kind, atMs, durationMs, newFraction, magnitude, intervalMs, target);
    }

    /** Returns a copy with the given magnitude. */
    Fault withMagnitude(double newMagnitude) {
        return new Fault(kind, atMs, durationMs, affectedFraction, newMagnitude, intervalMs, target);
    }
}
