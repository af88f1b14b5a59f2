package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.Answered;
import dewplank.emulator.fleet.FleetEvent.Arrived;
import dewplank.emulator.fleet.FleetEvent.Ran;
import dewplank.emulator.fleet.FleetEvent.ShownDraining;
import dewplank.emulator.fleet.FleetEvent.TryEnded;
import dewplank.emulator.fleet.FleetEvent.TrySent;
import dewplank.emulator.fleet.FleetEvent.TurnedAway;
import dewplank.emulator.fleet.Violation.Rule;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What holds for each request: where it may go, how often it may run, and what may be said of it. */
final class RequestRules {
    private static final Set<Integer> PROMISES = Set.of(408, 421, 429, 503);
    private static final String FREEING = "/kv-handle/";

    private final List<FleetEvent> events;
    private final Tries tries;
    private final Map<String, Answered> bySeal = new HashMap<>();
    private final List<Violation> found = new ArrayList<>();

    RequestRules(List<FleetEvent> events, Tries tries) {
        this.events = events;
        this.tries = tries;
        FleetEvent.only(events, Answered.class).stream()
                .filter(a -> a.seal() != null)
                .forEach(a -> bySeal.put(a.seal(), a));
    }

    List<Violation> check() {
        for (TrySent sent : tries.all()) {
            runs(sent);
            TryEnded ended = tries.ended(sent.tryId());
            boolean success = ended != null && ended.whole() && ended.status() / 100 == 2;
            if (success && !sent.request().route().kind().streaming()) {
                success(sent, ended);
            }
        }
        FleetEvent.only(events, Arrived.class).forEach(this::asked);
        FleetEvent.only(events, ShownDraining.class).forEach(this::drained);
        return found;
    }

    private void broken(Rule rule, String detail) {
        found.add(new Violation(rule, detail));
    }

    private void runs(TrySent sent) {
        List<Ran> runs = tries.runs(sent.tryId());
        boolean idempotent = sent.request().route().kind().idempotent();
        if (!idempotent && runs.size() > 1) {
            broken(Rule.TWICE, sent.tryId() + " ran at " + runs);
        }
        TryEnded ended = tries.ended(sent.tryId());
        if (!idempotent && ended != null && PROMISES.contains(ended.status()) && !runs.isEmpty()) {
            broken(Rule.REFUSED, sent.tryId() + " got " + ended.status() + " and ran at " + runs);
        }
    }

    private void success(TrySent sent, TryEnded ended) {
        Answered answer = bySeal.get(ended.seal());
        boolean own = answer != null && answer.tryId().equals(sent.tryId());
        if (!own || answer.status() != ended.status() || !answer.body().equals(ended.body())) {
            broken(Rule.MIXED, sent.tryId() + " got " + ended + " where the server gave " + answer);
        }
    }

    private void asked(Arrived arrived) {
        if (arrived.target().startsWith(FREEING) || arrived.target().equals("/health")) {
            return;
        }
        TrySent sent = tries.sent(arrived.tryId());
        boolean same = sent != null
                && sent.request().method().equals(arrived.method())
                && sent.request().target().equals(arrived.target())
                && sent.request().body().equals(arrived.body());
        if (!same) {
            broken(Rule.UNASKED, "a server got " + arrived + ", sent was " + sent);
        }
    }

    private void drained(ShownDraining drained) {
        double until = drained.at() + FleetBounds.DRAIN_MS;
        for (Arrived a : FleetEvent.only(events, Arrived.class)) {
            boolean late = a.server().equals(drained.server())
                    && a.at() > until
                    && !a.target().startsWith(FREEING);
            if (late && !meantForAnother(a)) {
                broken(
                        Rule.DRAIN,
                        a.tryId() + " reached " + a.server().instanceId() + " " + (a.at() - drained.at())
                                + " ms after it was shown as draining");
            }
        }
    }

    private boolean meantForAnother(Arrived a) {
        return FleetEvent.only(events, TurnedAway.class).stream()
                .anyMatch(t -> t.status() == 421
                        && t.tryId().equals(a.tryId())
                        && t.server().equals(a.server()));
    }
}
