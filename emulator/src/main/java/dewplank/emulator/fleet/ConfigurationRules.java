package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.AttemptEnded;
import dewplank.emulator.fleet.FleetEvent.AttemptSent;
import dewplank.emulator.fleet.FleetEvent.ChangeAnswered;
import dewplank.emulator.fleet.FleetEvent.ChangeSent;
import dewplank.emulator.fleet.FleetEvent.ProcessFaulted;
import dewplank.emulator.fleet.FleetEvent.ReadBack;
import dewplank.emulator.fleet.FleetEvent.RunStarted;
import dewplank.emulator.fleet.Violation.Rule;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** What holds for configurations: which are acknowledged, read back and in force. */
final class ConfigurationRules {
    private static final int OK = 200;

    private final List<FleetEvent> events;
    private final AttemptLog tries;
    private final List<ChangeSent> sent; // those that may be in force: no refusal came
    private final List<ChangeAnswered> acknowledged;
    private final List<ProcessFaulted> troubles;
    private final List<Violation> found = new ArrayList<>();

    ConfigurationRules(List<FleetEvent> events, AttemptLog tries) {
        this.events = events;
        this.tries = tries;
        List<ChangeAnswered> answers = FleetEvent.only(events, ChangeAnswered.class);
        this.sent = FleetEvent.only(events, ChangeSent.class).stream()
                .filter(s -> answers.stream().noneMatch(a -> refused(a, s)))
                .toList();
        this.acknowledged = answers.stream().filter(a -> a.status() == OK).toList();
        this.troubles = FleetEvent.only(events, ProcessFaulted.class);
    }

    private static boolean refused(ChangeAnswered a, ChangeSent s) {
        return a.status() != 0
                && a.status() != OK
                && a.base() == s.base()
                && a.text().equals(s.text());
    }

    List<Violation> check() {
        acknowledgements();
        FleetEvent.only(events, ReadBack.class).forEach(this::readBack);
        for (AttemptSent t : tries.all()) {
            tries.runs(t.attemptId()).forEach(r -> route(t, r));
            current(t);
        }
        return found;
    }

    private void broken(Rule rule, String detail) {
        found.add(new Violation(rule, detail));
    }

    private void acknowledgements() {
        Map<Long, Set<String>> onBase = new HashMap<>();
        for (ChangeAnswered a : acknowledged) {
            if (a.document() == null) {
                broken(Rule.CONFIG, "an invalid configuration was acknowledged: " + a.text());
            }
            onBase.computeIfAbsent(a.base(), b -> new HashSet<>()).add(a.text());
        }
        onBase.forEach((base, texts) -> {
            if (texts.size() > 1) {
                broken(Rule.CONFIG, "on version " + base + " were acknowledged " + texts);
            }
        });
    }

    private void readBack(ReadBack read) {
        long newest = acknowledged.stream()
                .filter(a -> a.at() <= read.sentAt() && a.document() != null)
                .mapToLong(a -> a.document().version())
                .max()
                .orElse(0);
        long version = FleetConfiguration.versionOf(read.text());
        if (version < newest) {
            broken(Rule.CONFIG, "read back was " + version + ", acknowledged " + newest);
        }
        boolean asSent =
                sent.stream().anyMatch(s -> s.document() != null && s.document().sameAs(read.text()));
        if (version > 0 && !asSent) {
            broken(Rule.CONFIG, "read back was what nobody sent: " + read.text());
        }
    }

    private void route(AttemptSent t, RunStarted run) {
        if (sent.stream().noneMatch(s -> allows(s.document(), t, run))) {
            broken(Rule.ROUTE, t.attemptId() + " on " + t.request().route().name() + " ran at " + run.server());
        }
    }

    private static boolean allows(FleetConfiguration document, AttemptSent t, RunStarted run) {
        return document != null
                && document.allows(t.request().route().host(), t.request().target())
                        .contains(run.server().service());
    }

    /** A request sent long after an acknowledgement is handled as that version or a later one says. */
    private void current(AttemptSent t) {
        long due = dueVersion(t);
        AttemptEnded ended = tries.ended(t.attemptId());
        if (due == 0 || ended == null) {
            return;
        }
        List<FleetConfiguration> valid = sent.stream()
                .map(ChangeSent::document)
                .filter(d -> d != null && d.version() >= due)
                .toList();
        for (RunStarted run : tries.runs(t.attemptId())) {
            if (valid.stream().noneMatch(d -> allows(d, t, run))) {
                broken(Rule.STALE, t.attemptId() + " ran at " + run.server().service() + " long after version " + due);
            }
        }
        boolean missing = valid.stream()
                .anyMatch(d -> d.allows(t.request().route().host(), t.request().target())
                        .isEmpty());
        if (ended.status() == 404 && !missing) {
            broken(Rule.STALE, t.attemptId() + " got 404 long after version " + due);
        }
    }

    private long dueVersion(AttemptSent t) {
        long due = 0;
        for (ChangeAnswered a : acknowledged) {
            boolean settled = t.at() > a.at() + FleetBounds.CONFIG_APPLY_MS && calm(a.at(), t.at());
            due = settled && a.document() != null ? Math.max(due, a.document().version()) : due;
        }
        return due;
    }

    /** Whether nothing was done to any process from a while before the acknowledgement to the request. */
    private boolean calm(double from, double to) {
        return troubles.stream().noneMatch(t -> t.at() > from - FleetBounds.CONTACT_MS && t.at() < to);
    }
}
