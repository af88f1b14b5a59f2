package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.HandleCreated;
import dewplank.emulator.fleet.FleetEvent.HandleFetched;
import dewplank.emulator.fleet.Violation.Rule;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** Checks that each KV handle is fetched at most once, and for the request that it was created for. */
final class HandleRules {
    private final List<FleetEvent> events;

    HandleRules(List<FleetEvent> events) {
        this.events = events;
    }

    List<Violation> check() {
        List<Violation> violations = new ArrayList<>();
        Map<String, String> owners = FleetEvent.ofType(events, HandleCreated.class).stream()
                .collect(Collectors.toMap(HandleCreated::handle, HandleCreated::attemptId));
        Set<String> fetched = new HashSet<>();
        for (HandleFetched fetch : FleetEvent.ofType(events, HandleFetched.class)) {
            if (!fetched.add(fetch.handle())) {
                violations.add(new Violation(Rule.HANDLE, fetch.handle() + " was fetched twice"));
            }
            if (!fetch.byAttemptId().equals(owners.get(fetch.handle()))) {
                violations.add(new Violation(
                        Rule.HANDLE,
                        fetch.handle() + " of " + owners.get(fetch.handle()) + " was fetched for "
                                + fetch.byAttemptId()));
            }
        }
        return violations;
    }
}
