package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.Emitted;
import dewplank.emulator.fleet.FleetEvent.Piece;
import dewplank.emulator.fleet.FleetEvent.StreamBegun;
import dewplank.emulator.fleet.FleetEvent.TryEnded;
import dewplank.emulator.fleet.FleetEvent.TrySent;
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
    private final Tries tries;
    private final Map<String, StreamBegun> bySeal = new HashMap<>();
    private final Map<String, List<Emitted>> emitted;
    private final Map<String, List<Piece>> pieces;
    private final List<Violation> found = new ArrayList<>();

    StreamRules(List<FleetEvent> events, Tries tries) {
        this.tries = tries;
        FleetEvent.only(events, StreamBegun.class).forEach(b -> bySeal.put(b.seal(), b));
        emitted = FleetEvent.only(events, Emitted.class).stream().collect(Collectors.groupingBy(Emitted::tryId));
        pieces = FleetEvent.only(events, Piece.class).stream().collect(Collectors.groupingBy(Piece::tryId));
    }

    List<Violation> check() {
        tries.all().stream().filter(t -> t.request().route().kind().streaming()).forEach(this::check);
        return found;
    }

    private void broken(Rule rule, String detail) {
        found.add(new Violation(rule, detail));
    }

    private void check(TrySent sent) {
        TryEnded ended = tries.ended(sent.tryId());
        if (ended == null || ended.status() / 100 != 2) {
            return;
        }
        StreamBegun head = bySeal.get(ended.seal());
        if (head == null || !head.tryId().equals(sent.tryId())) {
            broken(Rule.MIXED, sent.tryId() + " got the head of " + head + " in " + ended);
        }
        events(sent, ended);
        if (ended.whole()
                && !ended.body()
                        .equals(StreamEvents.all(sent.tryId(), sent.request().events()))) {
            broken(Rule.ORDER, sent.tryId() + " ended as whole with " + ended.body());
        }
    }

    private void events(TrySent sent, TryEnded ended) {
        String whole = String.join("", StreamEvents.whole(ended.body()));
        String due =
                StreamEvents.all(sent.tryId(), StreamEvents.whole(ended.body()).size());
        if (!whole.equals(due)) {
            broken(Rule.ORDER, sent.tryId() + " got events " + ended.body());
        }
        Set<String> seals = new HashSet<>();
        pieces.getOrDefault(sent.tryId(), List.of()).forEach(p -> seals.add(p.seal()));
        if (seals.size() > 1) {
            broken(Rule.ORDER, sent.tryId() + " got the heads " + seals);
        }
        int produced = emitted.getOrDefault(sent.tryId(), List.of()).stream()
                .mapToInt(Emitted::id)
                .max()
                .orElse(0);
        if (StreamEvents.whole(ended.body()).size() > produced) {
            broken(Rule.ORDER, sent.tryId() + " got more events than the " + produced + " that servers sent");
        }
    }
}
