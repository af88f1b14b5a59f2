package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.Arrived;
import dewplank.emulator.fleet.FleetEvent.AttemptEnded;
import dewplank.emulator.fleet.FleetEvent.AttemptSent;
import dewplank.emulator.fleet.FleetEvent.RunStarted;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/** A history's events by the attempts that they belong to. */
final class AttemptLog {
    private final Map<String, AttemptSent> sent = new LinkedHashMap<>();
    private final Map<String, AttemptEnded> ended = new HashMap<>();
    private final Map<String, List<RunStarted>> runs;
    private final Map<String, List<Arrived>> arrivals;

    AttemptLog(List<FleetEvent> events) {
        FleetEvent.only(events, AttemptSent.class).forEach(event -> sent.put(event.attemptId(), event));
        FleetEvent.only(events, AttemptEnded.class).forEach(event -> ended.put(event.attemptId(), event));
        runs = FleetEvent.only(events, RunStarted.class).stream().collect(Collectors.groupingBy(RunStarted::attemptId));
        arrivals = FleetEvent.only(events, Arrived.class).stream().collect(Collectors.groupingBy(Arrived::attemptId));
    }

    Collection<AttemptSent> all() {
        return sent.values();
    }

    /** Empty where no client sent it. */
    Optional<AttemptSent> sent(String attemptId) {
        return Optional.ofNullable(sent.get(attemptId));
    }

    /** Empty where the history ends before the attempt. */
    Optional<AttemptEnded> ended(String attemptId) {
        return Optional.ofNullable(ended.get(attemptId));
    }

    List<RunStarted> runs(String attemptId) {
        return runs.getOrDefault(attemptId, List.of());
    }

    List<Arrived> arrivals(String attemptId) {
        return arrivals.getOrDefault(attemptId, List.of());
    }
}
