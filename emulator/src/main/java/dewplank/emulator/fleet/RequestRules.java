package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.Answered;
import dewplank.emulator.fleet.FleetEvent.Arrived;
import dewplank.emulator.fleet.FleetEvent.AttemptEnded;
import dewplank.emulator.fleet.FleetEvent.AttemptSent;
import dewplank.emulator.fleet.FleetEvent.ListedDraining;
import dewplank.emulator.fleet.FleetEvent.RunRejected;
import dewplank.emulator.fleet.FleetEvent.RunStarted;
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
    private final AttemptLog tries;
    private final Map<String, Answered> bySeal = new HashMap<>();
    private final List<Violation> found = new ArrayList<>();

    RequestRules(List<FleetEvent> events, AttemptLog tries) {
        this.events = events;
        this.tries = tries;
        FleetEvent.only(events, Answered.class).stream()
                .filter(a -> a.seal() != null)
                .forEach(a -> bySeal.put(a.seal(), a));
    }

    List<Violation> check() {
        for (AttemptSent sent : tries.all()) {
            runs(sent);
            AttemptEnded ended = tries.ended(sent.attemptId());
            boolean success = ended != null && ended.complete() && ended.status() / 100 == 2;
            if (success && !sent.request().route().kind().streaming()) {
                success(sent, ended);
            }
        }
        FleetEvent.only(events, Arrived.class).forEach(this::asked);
        FleetEvent.only(events, ListedDraining.class).forEach(this::drained);
        return found;
    }

    private void broken(Rule rule, String detail) {
        found.add(new Violation(rule, detail));
    }

    private void runs(AttemptSent sent) {
        List<RunStarted> runs = tries.runs(sent.attemptId());
        boolean idempotent = sent.request().route().kind().idempotent();
        if (!idempotent && runs.size() > 1) {
            broken(Rule.TWICE, sent.attemptId() + " ran at " + runs);
        }
        AttemptEnded ended = tries.ended(sent.attemptId());
        if (!idempotent && ended != null && PROMISES.contains(ended.status()) && !runs.isEmpty()) {
            broken(Rule.REFUSED, sent.attemptId() + " got " + ended.status() + " and ran at " + runs);
        }
    }

    private void success(AttemptSent sent, AttemptEnded ended) {
        Answered answer = bySeal.get(ended.seal());
        boolean own = answer != null && answer.tryId().equals(sent.attemptId());
        if (!own || answer.status() != ended.status() || !answer.body().equals(ended.body())) {
            broken(Rule.MIXED, sent.attemptId() + " got " + ended + " where the server gave " + answer);
        }
    }

    private void asked(Arrived arrived) {
        if (arrived.target().startsWith(FREEING) || arrived.target().equals("/health")) {
            return;
        }
        AttemptSent sent = tries.sent(arrived.tryId());
        boolean same = sent != null
                && sent.request().method().equals(arrived.method())
                && sent.request().target().equals(arrived.target())
                && sent.request().body().equals(arrived.body());
        if (!same) {
            broken(Rule.UNASKED, "a server got " + arrived + ", sent was " + sent);
        }
    }

    private void drained(ListedDraining drained) {
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
        return FleetEvent.only(events, RunRejected.class).stream()
                .anyMatch(t -> t.status() == 421
                        && t.tryId().equals(a.tryId())
                        && t.server().equals(a.server()));
    }
}
