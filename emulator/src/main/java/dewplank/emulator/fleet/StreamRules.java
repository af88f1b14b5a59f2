package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.AttemptEnded;
import dewplank.emulator.fleet.FleetEvent.AttemptSent;
import dewplank.emulator.fleet.FleetEvent.StreamBytes;
import dewplank.emulator.fleet.FleetEvent.StreamEventSent;
import dewplank.emulator.fleet.FleetEvent.StreamStarted;
import dewplank.emulator.fleet.Violation.Rule;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

/** Checks that streams have consecutive event ids and one head, and that they end only after the last event. */
final class StreamRules {
    private final AttemptLog attempts;
    private final Map<String, StreamStarted> streamsBySeal = new HashMap<>();
    private final Map<String, List<StreamEventSent>> sentEvents;
    private final Map<String, List<StreamBytes>> receivedParts;
    private final List<Violation> violations = new ArrayList<>();

    StreamRules(List<FleetEvent> events, AttemptLog attempts) {
        this.attempts = attempts;
        FleetEvent.ofType(events, StreamStarted.class).forEach(started -> streamsBySeal.put(started.seal(), started));
        sentEvents = FleetEvent.ofType(events, StreamEventSent.class).stream()
                .collect(Collectors.groupingBy(StreamEventSent::attemptId));
        receivedParts = FleetEvent.ofType(events, StreamBytes.class).stream()
                .collect(Collectors.groupingBy(StreamBytes::attemptId));
    }

    List<Violation> check() {
        attempts.all().stream()
                .filter(attempt -> attempt.request().route().kind().streaming())
                .forEach(this::check);
        return violations;
    }

    private void report(Rule rule, String detail) {
        violations.add(new Violation(rule, detail));
    }

    private void check(AttemptSent sent) {
        attempts.ended(sent.attemptId())
                .filter(ended -> ended.status() / 100 == 2)
                .ifPresent(ended -> check(sent, ended));
    }

    private void check(AttemptSent sent, AttemptEnded ended) {
        Optional<StreamStarted> head = ended.seal().map(streamsBySeal::get);
        if (head.filter(started -> started.attemptId().equals(sent.attemptId())).isEmpty()) {
            report(Rule.MIXED, sent.attemptId() + " received the head of " + head + " in " + ended);
        }
        checkEvents(sent, ended);
        if (ended.complete()
                && !ended.body()
                        .equals(StreamEvents.stream(
                                sent.attemptId(), sent.request().events()))) {
            report(Rule.ORDER, sent.attemptId() + " ended as complete with " + ended.body());
        }
    }

    private void checkEvents(AttemptSent sent, AttemptEnded ended) {
        String complete = String.join("", StreamEvents.complete(ended.body()));
        String expected = StreamEvents.stream(
                sent.attemptId(), StreamEvents.complete(ended.body()).size());
        if (!complete.equals(expected)) {
            report(Rule.ORDER, sent.attemptId() + " received the events " + ended.body());
        }
        Set<Optional<String>> seals = new HashSet<>();
        receivedParts.getOrDefault(sent.attemptId(), List.of()).forEach(part -> seals.add(part.seal()));
        if (seals.size() > 1) {
            report(Rule.ORDER, sent.attemptId() + " received several heads, with seals " + seals);
        }
        int sentCount = sentEvents.getOrDefault(sent.attemptId(), List.of()).stream()
                .mapToInt(StreamEventSent::id)
                .max()
                .orElse(0);
        if (StreamEvents.complete(ended.body()).size() > sentCount) {
            report(Rule.ORDER, sent.attemptId() + " received more events than the " + sentCount + " that servers sent");
        }
    }
}
