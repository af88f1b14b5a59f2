package dewplank.emulator.fleet;

import java.util.ArrayList;
import java.util.List;

/** Checks a history once the run is over. */
public final class FleetAuditor {
    private FleetAuditor() {}

    /** The rules that the history breaks, with where; empty where it keeps all. */
    public static List<Violation> audit(List<FleetEvent> events) {
        List<Violation> found = new ArrayList<>();
        AttemptLog attempts = new AttemptLog(events);
        found.addAll(new RequestRules(events, attempts).check());
        found.addAll(new LostRequestRules(events, attempts).check());
        found.addAll(new StreamRules(events, attempts).check());
        found.addAll(new HandleRules(events).check());
        found.addAll(new ConfigurationRules(events, attempts).check());
        found.addAll(new PlatformRules(events).check());
        return found;
    }
}
