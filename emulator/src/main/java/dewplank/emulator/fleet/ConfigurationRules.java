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
import java.util.Optional;
import java.util.Set;

/** Rules for configurations: which are acknowledged, read back and in force. */
final class ConfigurationRules {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final List<FleetEvent> events;
    private final AttemptLog attempts;
    private final List<ChangeSent> sent; // without those that were refused, which are never in force
    private final List<ChangeAnswered> acknowledged;
    private final List<ProcessFaulted> faults;
    private final List<Violation> found = new ArrayList<>();

    ConfigurationRules(List<FleetEvent> events, AttemptLog attempts) {
        this.events = events;
        this.attempts = attempts;
        List<ChangeAnswered> answers = FleetEvent.only(events, ChangeAnswered.class);
        this.sent = FleetEvent.only(events, ChangeSent.class).stream()
                .filter(s -> answers.stream().noneMatch(a -> wasRefused(a, s)))
                .toList();
        this.acknowledged = answers.stream().filter(a -> a.status() == OK).toList();
        this.faults = FleetEvent.only(events, ProcessFaulted.class);
    }

    private static boolean wasRefused(ChangeAnswered a, ChangeSent s) {
        return a.status() != 0
                && a.status() != OK
                && a.base() == s.base()
                && a.text().equals(s.text());
    }

    List<Violation> check() {
        checkAcknowledgements();
        FleetEvent.only(events, ReadBack.class).forEach(this::checkReadBack);
        for (AttemptSent t : attempts.all()) {
            attempts.runs(t.attemptId()).forEach(r -> checkRoute(t, r));
            checkCurrent(t);
        }
        return found;
    }

    private void report(Rule rule, String detail) {
        found.add(new Violation(rule, detail));
    }

    private void checkAcknowledgements() {
        Map<Long, Set<String>> onBase = new HashMap<>();
        for (ChangeAnswered a : acknowledged) {
            if (a.document().isEmpty()) {
                report(Rule.CONFIG, "an invalid configuration was acknowledged: " + a.text());
            }
            onBase.computeIfAbsent(a.base(), b -> new HashSet<>()).add(a.text());
        }
        onBase.forEach((base, texts) -> {
            if (texts.size() > 1) {
                report(Rule.CONFIG, "on version " + base + " were acknowledged " + texts);
            }
        });
    }

    private void checkReadBack(ReadBack read) {
        long newest = acknowledged.stream()
                .filter(a -> a.atMs() <= read.sentAtMs())
                .flatMap(a -> a.document().stream())
                .mapToLong(FleetConfiguration::version)
                .max()
                .orElse(0);
        long version = FleetConfiguration.versionOf(read.text());
        if (version < newest) {
            report(Rule.CONFIG, "read back was " + version + ", acknowledged " + newest);
        }
        boolean asSent = sent.stream().flatMap(s -> s.document().stream()).anyMatch(d -> d.sameAs(read.text()));
        if (version > 0 && !asSent) {
            report(Rule.CONFIG, "read back was what nobody sent: " + read.text());
        }
    }

    private void checkRoute(AttemptSent t, RunStarted run) {
        if (sent.stream().flatMap(s -> s.document().stream()).noneMatch(d -> allows(d, t, run))) {
            report(Rule.ROUTE, t.attemptId() + " on " + t.request().route().name() + " ran at " + run.server());
        }
    }

    private static boolean allows(FleetConfiguration document, AttemptSent t, RunStarted run) {
        return document.allows(t.request().route().host(), t.request().target())
                .contains(run.server().service());
    }

    /** A request sent long after an acknowledgement is handled by that version or a later one. */
    private void checkCurrent(AttemptSent t) {
        long requiredVersion = requiredVersion(t);
        Optional<AttemptEnded> ended = attempts.ended(t.attemptId());
        if (requiredVersion == 0 || ended.isEmpty()) {
            return;
        }
        List<FleetConfiguration> valid = sent.stream()
                .flatMap(s -> s.document().stream())
                .filter(d -> d.version() >= requiredVersion)
                .toList();
        for (RunStarted run : attempts.runs(t.attemptId())) {
            if (valid.stream().noneMatch(d -> allows(d, t, run))) {
                report(
                        Rule.STALE,
                        t.attemptId() + " ran at " + run.server().service() + " long after version " + requiredVersion);
            }
        }
        boolean missing = valid.stream()
                .anyMatch(d -> d.allows(t.request().route().host(), t.request().target())
                        .isEmpty());
        if (ended.get().status() == NOT_FOUND && !missing) {
            report(Rule.STALE, t.attemptId() + " got 404 long after version " + requiredVersion);
        }
    }

    private long requiredVersion(AttemptSent t) {
        return acknowledged.stream()
                .filter(a -> t.atMs() > a.atMs() + FleetBounds.CONFIG_APPLY_MS && hadNoFaults(a.atMs(), t.atMs()))
                .flatMap(a -> a.document().stream())
                .mapToLong(FleetConfiguration::version)
                .max()
                .orElse(0);
    }

    /** Whether no process had a fault from shortly before the acknowledgement until the request. */
    private boolean hadNoFaults(double from, double to) {
        return faults.stream().noneMatch(t -> t.atMs() > from - FleetBounds.CONTACT_MS && t.atMs() < to);
    }
}
