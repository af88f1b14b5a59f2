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

/** Groups the events of a history by attempt. */
final class AttemptLog {
    private final Map<String, AttemptSent> sent = new LinkedHashMap<>();
    private final Map<String, AttemptEnded> ended = new HashMap<>();
    private final Map<String, List<RunStarted>> runs;
    private final Map<String, List<Arrived>> arrivals;

    AttemptLog(List<FleetEvent> events) {
        FleetEvent.ofType(events, AttemptSent.class).forEach(event -> sent.put(event.attemptId(), event));
        FleetEvent.ofType(events, AttemptEnded.class).forEach(event -> ended.put(event.attemptId(), event));
        runs = FleetEvent.ofType(events, RunStarted.class).stream()
                .collect(Collectors.groupingBy(RunStarted::attemptId));
        arrivals = FleetEvent.ofType(events, Arrived.class).stream().collect(Collectors.groupingBy(Arrived::attemptId));
    }

    Collection<AttemptSent> all() {
        return sent.values();
    }

    /** Returns the start of an attempt; empty if no client sent it. */
    Optional<AttemptSent> sent(String attemptId) {
        return Optional.ofNullable(sent.get(attemptId));
    }

    /** Returns the end of an attempt; empty if the attempt was still open when the history ended. */
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
