package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.ChangeAnswered;
import dewplank.emulator.fleet.FleetEvent.ChangeSent;
import dewplank.emulator.fleet.FleetEvent.Ran;
import dewplank.emulator.fleet.FleetEvent.ReadBack;
import dewplank.emulator.fleet.FleetEvent.Troubled;
import dewplank.emulator.fleet.FleetEvent.TryEnded;
import dewplank.emulator.fleet.FleetEvent.TrySent;
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
    private final Tries tries;
    private final List<ChangeSent> sent; // those that may be in force: no refusal came
    private final List<ChangeAnswered> acknowledged;
    private final List<Troubled> troubles;
    private final List<Violation> found = new ArrayList<>();

    ConfigurationRules(List<FleetEvent> events, Tries tries) {
        this.events = events;
        this.tries = tries;
        List<ChangeAnswered> answers = FleetEvent.only(events, ChangeAnswered.class);
        this.sent = FleetEvent.only(events, ChangeSent.class).stream()
                .filter(s -> answers.stream().noneMatch(a -> refused(a, s)))
                .toList();
        this.acknowledged = answers.stream().filter(a -> a.status() == OK).toList();
        this.troubles = FleetEvent.only(events, Troubled.class);
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
        for (TrySent t : tries.all()) {
            tries.runs(t.tryId()).forEach(r -> route(t, r));
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

    private void route(TrySent t, Ran run) {
        if (sent.stream().noneMatch(s -> allows(s.document(), t, run))) {
            broken(Rule.ROUTE, t.tryId() + " on " + t.request().route().name() + " ran at " + run.server());
        }
    }

    private static boolean allows(FleetConfiguration document, TrySent t, Ran run) {
        return document != null
                && document.allows(t.request().route().host(), t.request().target())
                        .contains(run.server().service());
    }

    /** A request sent long after an acknowledgement is handled as that version or a later one says. */
    private void current(TrySent t) {
        long due = dueVersion(t);
        TryEnded ended = tries.ended(t.tryId());
        if (due == 0 || ended == null) {
            return;
        }
        List<FleetConfiguration> valid = sent.stream()
                .map(ChangeSent::document)
                .filter(d -> d != null && d.version() >= due)
                .toList();
        for (Ran run : tries.runs(t.tryId())) {
            if (valid.stream().noneMatch(d -> allows(d, t, run))) {
                broken(Rule.STALE, t.tryId() + " ran at " + run.server().service() + " long after version " + due);
            }
        }
        boolean missing = valid.stream()
                .anyMatch(d -> d.allows(t.request().route().host(), t.request().target())
                        .isEmpty());
        if (ended.status() == 404 && !missing) {
            broken(Rule.STALE, t.tryId() + " got 404 long after version " + due);
        }
    }

    private long dueVersion(TrySent t) {
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
