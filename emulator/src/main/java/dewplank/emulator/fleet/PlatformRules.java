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
 * Rules for calls to the platform: one process, the lease holder, makes them at a time. A former holder may still call
 * within the hand-over time, or shortly after it was thawed. A later call of a former holder within the length of a
 * lease means that two processes call in turn.
 */
final class PlatformRules {
    private static final double MAX_HAND_OVER_MS = 500;

    private final List<EndpointListRequested> calls;
    private final List<ProcessFaulted> thaws;

    PlatformRules(List<FleetEvent> events) {
        this.calls = FleetEvent.only(events, EndpointListRequested.class);
        this.thaws = FleetEvent.only(events, ProcessFaulted.class).stream()
                .filter(fault -> fault.fault() == ProcessFault.THAWED)
                .toList();
    }

    List<Violation> check() {
        List<Violation> found = new ArrayList<>();
        Optional<String> caller = Optional.empty();
        double callerSinceMs = Double.NEGATIVE_INFINITY;
        Map<String, Double> lastCall = new HashMap<>();
        for (EndpointListRequested call : calls) {
            boolean isCaller = caller.filter(call.node()::equals).isPresent();
            boolean isFormerCaller = !isCaller && lastCall.containsKey(call.node());
            boolean isWithinLease = isFormerCaller && call.atMs() - lastCall.get(call.node()) < FleetBounds.LEASE_MS;
            if (isWithinLease && call.atMs() - callerSinceMs < MAX_HAND_OVER_MS || isFormerCaller && justThawed(call)) {
                continue; // still part of the hand-over
            }
            if (isWithinLease) {
                found.add(new Violation(
                        Rule.ONE, call.node() + " and " + caller.orElseThrow() + " took turns at " + call.atMs()));
            }
            if (!isCaller) {
                caller = Optional.of(call.node());
                callerSinceMs = call.atMs();
            }
            lastCall.put(call.node(), call.atMs());
        }
        return found;
    }

    private boolean justThawed(EndpointListRequested call) {
        return thaws.stream()
                .anyMatch(thaw -> thaw.node().equals(call.node())
                        && call.atMs() >= thaw.atMs()
                        && call.atMs() - thaw.atMs() <= FleetBounds.THAW_SLACK_MS);
    }
}
