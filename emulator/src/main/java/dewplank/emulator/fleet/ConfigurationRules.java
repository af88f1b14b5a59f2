package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.AttemptEnded;
import dewplank.emulator.fleet.FleetEvent.AttemptSent;
import dewplank.emulator.fleet.FleetEvent.ChangeAnswered;
import dewplank.emulator.fleet.FleetEvent.ChangeSent;
import dewplank.emulator.fleet.FleetEvent.ProcessFault;
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
                .filter(change -> answers.stream().noneMatch(answer -> wasRefused(answer, change)))
                .toList();
        this.acknowledged =
                answers.stream().filter(answer -> answer.status() == OK).toList();
        this.faults = FleetEvent.only(events, ProcessFaulted.class).stream()
                .filter(fault -> fault.fault() != ProcessFault.RELOADED) // it ends no contact
                .toList();
    }

    private static boolean wasRefused(ChangeAnswered answer, ChangeSent change) {
        return answer.status() != 0
                && answer.status() != OK
                && answer.base() == change.base()
                && answer.text().equals(change.text());
    }

    List<Violation> check() {
        checkAcknowledgements();
        FleetEvent.only(events, ReadBack.class).forEach(this::checkReadBack);
        for (AttemptSent attempt : attempts.all()) {
            attempts.runs(attempt.attemptId()).forEach(run -> checkRoute(attempt, run));
            checkCurrent(attempt);
        }
        return found;
    }

    private void report(Rule rule, String detail) {
        found.add(new Violation(rule, detail));
    }

    private void checkAcknowledgements() {
        Map<Long, Set<String>> onBase = new HashMap<>();
        for (ChangeAnswered answer : acknowledged) {
            if (answer.document().isEmpty()) {
                report(Rule.CONFIG, "an invalid configuration was acknowledged: " + answer.text());
            }
            onBase.computeIfAbsent(answer.base(), any -> new HashSet<>()).add(answer.text());
        }
        onBase.forEach((base, texts) -> {
            if (texts.size() > 1) {
                report(Rule.CONFIG, "on version " + base + " were acknowledged " + texts);
            }
        });
    }

    private void checkReadBack(ReadBack read) {
        long newest = acknowledged.stream()
                .filter(answer -> answer.atMs() <= read.sentAtMs())
                .flatMap(answer -> answer.document().stream())
                .mapToLong(FleetConfiguration::version)
                .max()
                .orElse(0);
        long version = FleetConfiguration.versionOf(read.text());
        if (version < newest) {
            report(Rule.CONFIG, "read back was " + version + ", acknowledged " + newest);
        }
        boolean asSent = sent.stream()
                .flatMap(change -> change.document().stream())
                .anyMatch(document -> document.sameAs(read.text()));
        if (version > 0 && !asSent) {
            report(Rule.CONFIG, "read back was what nobody sent: " + read.text());
        }
    }

    private void checkRoute(AttemptSent attempt, RunStarted run) {
        if (sent.stream()
                .flatMap(change -> change.document().stream())
                .noneMatch(document -> allows(document, attempt, run))) {
            report(
                    Rule.ROUTE,
                    attempt.attemptId() + " on " + attempt.request().route().name() + " ran at " + run.server());
        }
    }

    private static boolean allows(FleetConfiguration document, AttemptSent attempt, RunStarted run) {
        return document.allows(
                        attempt.request().route().host(), attempt.request().target())
                .contains(run.server().service());
    }

    /** A request sent long after an acknowledgement is handled by that version or a later one. */
    private void checkCurrent(AttemptSent attempt) {
        long requiredVersion = requiredVersion(attempt);
        Optional<AttemptEnded> ended = attempts.ended(attempt.attemptId());
        if (requiredVersion == 0 || ended.isEmpty()) {
            return;
        }
        List<FleetConfiguration> valid = sent.stream()
                .flatMap(change -> change.document().stream())
                .filter(document -> document.version() >= requiredVersion)
                .toList();
        for (RunStarted run : attempts.runs(attempt.attemptId())) {
            if (valid.stream().noneMatch(document -> allows(document, attempt, run))) {
                report(
                        Rule.STALE,
                        attempt.attemptId() + " ran at " + run.server().service() + " long after version "
                                + requiredVersion);
            }
        }
        boolean missing = valid.stream().anyMatch(document -> document.allows(
                        attempt.request().route().host(), attempt.request().target())
                .isEmpty());
        if (ended.get().status() == NOT_FOUND && !missing) {
            report(Rule.STALE, attempt.attemptId() + " got 404 long after version " + requiredVersion);
        }
    }

    private long requiredVersion(AttemptSent attempt) {
        return acknowledged.stream()
                .filter(answer -> attempt.atMs() > answer.atMs() + FleetBounds.CONFIG_APPLY_MS
                        && hadNoFaults(answer.atMs(), attempt.atMs()))
                .flatMap(answer -> answer.document().stream())
                .mapToLong(FleetConfiguration::version)
                .max()
                .orElse(0);
    }

    /** Whether no process had a fault from shortly before the acknowledgement until the request. */
    private boolean hadNoFaults(double from, double to) {
        return faults.stream().noneMatch(fault -> fault.atMs() > from - FleetBounds.CONTACT_MS && fault.atMs() < to);
    }
}
