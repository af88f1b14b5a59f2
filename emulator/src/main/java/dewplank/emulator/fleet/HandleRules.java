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

/** Rules for handles: each is fetched at most once, and for the request that it was created for. */
final class HandleRules {
    private final List<FleetEvent> events;

    HandleRules(List<FleetEvent> events) {
        this.events = events;
    }

    List<Violation> check() {
        List<Violation> found = new ArrayList<>();
        Map<String, String> owners = FleetEvent.only(events, HandleCreated.class).stream()
                .collect(Collectors.toMap(HandleCreated::handle, HandleCreated::attemptId));
        Set<String> fetched = new HashSet<>();
        for (HandleFetched t : FleetEvent.only(events, HandleFetched.class)) {
            if (!fetched.add(t.handle())) {
                found.add(new Violation(Rule.HANDLE, t.handle() + " was taken twice"));
            }
            if (!t.byAttemptId().equals(owners.get(t.handle()))) {
                found.add(new Violation(
                        Rule.HANDLE, t.handle() + " of " + owners.get(t.handle()) + " taken for " + t.byAttemptId()));
            }
        }
        return found;
    }
}
