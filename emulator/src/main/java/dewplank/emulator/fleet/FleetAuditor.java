package dewplank.emulator.fleet;

import java.util.ArrayList;
import java.util.List;

/** Checks a history after the run has ended. */
public final class FleetAuditor {
    private FleetAuditor() {}

    /** Returns the violations in the history; empty if there is none. */
    public static List<Violation> audit(List<FleetEvent> events) {
        List<Violation> violations = new ArrayList<>();
        AttemptLog attempts = new AttemptLog(events);
        violations.addAll(new RequestRules(events, attempts).check());
        violations.addAll(new LostRequestRules(events, attempts).check());
        violations.addAll(new StreamRules(events, attempts).check());
        violations.addAll(new HandleRules(events).check());
        violations.addAll(new ConfigurationRules(events, attempts).check());
        violations.addAll(new PlatformRules(events).check());
        return violations;
    }
}
