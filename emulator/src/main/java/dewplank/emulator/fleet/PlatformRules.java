package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.EndpointListRequested;
import dewplank.emulator.fleet.FleetEvent.ProcessFault;
import dewplank.emulator.fleet.FleetEvent.ProcessFaulted;
import dewplank.emulator.fleet.Violation.Rule;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Checks that only one process at a time, the lease holder, calls the platform. A former holder may still call within
 * the hand-over time, or shortly after it was resumed from a pause. If a former holder calls later than that and within
 * the duration of a lease since its previous call, two processes are calling alternately.
 */
final class PlatformRules {
    private static final double MAX_HAND_OVER_MS = 500;

    private final List<EndpointListRequested> calls;
    private final List<ProcessFaulted> resumes;

    PlatformRules(List<FleetEvent> events) {
        this.calls = FleetEvent.ofType(events, EndpointListRequested.class);
        this.resumes = FleetEvent.ofType(events, ProcessFaulted.class).stream()
                .filter(fault -> fault.fault() == ProcessFault.THAWED)
                .toList();
    }

    List<Violation> check() {
        List<Violation> violations = new ArrayList<>();
        Optional<String> caller = Optional.empty();
        double callerSinceMs = Double.NEGATIVE_INFINITY;
        Map<String, Double> lastCall = new HashMap<>();
        for (EndpointListRequested call : calls) {
            boolean isCaller = caller.filter(call.node()::equals).isPresent();
            boolean isFormerCaller = !isCaller && lastCall.containsKey(call.node());
            boolean isWithinLease = isFormerCaller && call.atMs() - lastCall.get(call.node()) < FleetBounds.LEASE_MS;
            if (isWithinLease && call.atMs() - callerSinceMs < MAX_HAND_OVER_MS
                    || isFormerCaller && wasJustResumed(call)) {
                continue; // allowed for a former holder
            }
            if (isWithinLease) {
                violations.add(new Violation(
                        Rule.ONE,
                        call.node() + " and " + caller.orElseThrow() + " called alternately at " + call.atMs()));
            }
            if (!isCaller) {
                caller = Optional.of(call.node());
                callerSinceMs = call.atMs();
            }
            lastCall.put(call.node(), call.atMs());
        }
        return violations;
    }

    private boolean wasJustResumed(EndpointListRequested call) {
        return resumes.stream()
                .anyMatch(resume -> resume.node().equals(call.node())
                        && call.atMs() >= resume.atMs()
                        && call.atMs() - resume.atMs() <= FleetBounds.THAW_SLACK_MS);
    }
}
