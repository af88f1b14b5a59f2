package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.AttemptEnded;
import dewplank.emulator.fleet.FleetEvent.AttemptSent;
import dewplank.emulator.fleet.FleetEvent.StreamBegun;
import dewplank.emulator.fleet.FleetEvent.StreamBytes;
import dewplank.emulator.fleet.FleetEvent.StreamEventSent;
import dewplank.emulator.fleet.Violation.Rule;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/** What holds for streams: rising ids without a gap or repeat, one head, and an end only behind the last event. */
final class StreamRules {
    private final AttemptLog tries;
    private final Map<String, StreamBegun> bySeal = new HashMap<>();
    private final Map<String, List<StreamEventSent>> emitted;
    private final Map<String, List<StreamBytes>> pieces;
    private final List<Violation> found = new ArrayList<>();

    StreamRules(List<FleetEvent> events, AttemptLog tries) {
        this.tries = tries;
        FleetEvent.only(events, StreamBegun.class).forEach(b -> bySeal.put(b.seal(), b));
        emitted = FleetEvent.only(events, StreamEventSent.class).stream()
                .collect(Collectors.groupingBy(StreamEventSent::tryId));
        pieces = FleetEvent.only(events, StreamBytes.class).stream().collect(Collectors.groupingBy(StreamBytes::tryId));
    }

    List<Violation> check() {
        tries.all().stream().filter(t -> t.request().route().kind().streaming()).forEach(this::check);
        return found;
    }

    private void broken(Rule rule, String detail) {
        found.add(new Violation(rule, detail));
    }

    private void check(AttemptSent sent) {
        AttemptEnded ended = tries.ended(sent.attemptId());
        if (ended == null || ended.status() / 100 != 2) {
            return;
        }
        StreamBegun head = bySeal.get(ended.seal());
        if (head == null || !head.tryId().equals(sent.attemptId())) {
            broken(Rule.MIXED, sent.attemptId() + " got the head of " + head + " in " + ended);
        }
        events(sent, ended);
        if (ended.complete()
                && !ended.body()
                        .equals(StreamEvents.all(
                                sent.attemptId(), sent.request().events()))) {
            broken(Rule.ORDER, sent.attemptId() + " ended as whole with " + ended.body());
        }
    }

    private void events(AttemptSent sent, AttemptEnded ended) {
        String whole = String.join("", StreamEvents.whole(ended.body()));
        String due = StreamEvents.all(
                sent.attemptId(), StreamEvents.whole(ended.body()).size());
        if (!whole.equals(due)) {
            broken(Rule.ORDER, sent.attemptId() + " got events " + ended.body());
        }
        Set<String> seals = new HashSet<>();
        pieces.getOrDefault(sent.attemptId(), List.of()).forEach(p -> seals.add(p.seal()));
        if (seals.size() > 1) {
            broken(Rule.ORDER, sent.attemptId() + " got the heads " + seals);
        }
        int produced = emitted.getOrDefault(sent.attemptId(), List.of()).stream()
                .mapToInt(StreamEventSent::id)
                .max()
                .orElse(0);
        if (StreamEvents.whole(ended.body()).size() > produced) {
            broken(Rule.ORDER, sent.attemptId() + " got more events than the " + produced + " that servers sent");
        }
    }
}
