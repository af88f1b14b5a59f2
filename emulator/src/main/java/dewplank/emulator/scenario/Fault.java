package dewplank.emulator.scenario;

import java.util.Optional;

/**
 * A fault, when it happens and what it affects.
 *
 * @param atMs from the start of the run
 * @param durationMs until it ends; until the server is started again, for a crash
 * @param affectedFraction of the servers, or of the sidecars for {@link FaultKind#SIDECAR_KILL}
 * @param magnitude by kind: times slower, fraction taken, times the load, fraction of the requests, milliseconds
 * @param intervalMs of kinds that come and go; for a deploy, how long a server drains
 * @param target class or tenant that it affects, or empty where it affects all
 */
public record Fault(
        FaultKind kind,
        double atMs,
        double durationMs,
        double affectedFraction,
        double magnitude,
        double intervalMs,
        Optional<String> target) {

    /** The same for another part of the servers. */
    Fault withAffectedFraction(double newFraction) {
        return new Fault(kind, atMs, durationMs, newFraction, magnitude, intervalMs, target);
    }

    /** The same with another magnitude. */
    Fault withMagnitude(double newMagnitude) {
        return new Fault(kind, atMs, durationMs, affectedFraction, newMagnitude, intervalMs, target);
    }
}
