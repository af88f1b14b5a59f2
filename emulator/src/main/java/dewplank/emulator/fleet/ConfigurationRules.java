package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.AttemptEnded;
import dewplank.emulator.fleet.FleetEvent.AttemptSent;
import dewplank.emulator.fleet.FleetEvent.ChangeResponded;
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

/** Checks which configurations are acknowledged, read back and applied. */
final class ConfigurationRules {
    private static final int OK = 200;
    private static final int NOT_FOUND = 404;

    private final List<FleetEvent> events;
    private final AttemptLog attempts;
    private final List<ChangeSent> sentChanges; // without rejected changes, which are never applied
    private final List<ChangeResponded> acknowledged;
    private final List<ProcessFaulted> faults;
    private final List<Violation> violations = new ArrayList<>();

    ConfigurationRules(List<FleetEvent> events, AttemptLog attempts) {
        this.events = events;
        this.attempts = attempts;
        List<ChangeResponded> responses = FleetEvent.ofType(events, ChangeResponded.class);
        this.sentChanges = FleetEvent.ofType(events, ChangeSent.class).stream()
                .filter(change -> responses.stream().noneMatch(response -> wasRejected(response, change)))
                .toList();
        this.acknowledged =
                responses.stream().filter(response -> response.status() == OK).toList();
        this.faults = FleetEvent.ofType(events, ProcessFaulted.class).stream()
                .filter(fault -> fault.fault() != ProcessFault.RELOADED) // a reload does not interrupt connections
                .toList();
    }

    private static boolean wasRejected(ChangeResponded response, ChangeSent change) {
        return response.status() != 0
                && response.status() != OK
                && response.base() == change.base()
                && response.text().equals(change.text());
    }

    List<Violation> check() {
        checkAcknowledgements();
        FleetEvent.ofType(events, ReadBack.class).forEach(this::checkReadBack);
        for (AttemptSent attempt : attempts.all()) {
            attempts.runs(attempt.attemptId()).forEach(run -> checkRoute(attempt, run));
            checkStaleness(attempt);
        }
        return violations;
    }

    private void report(Rule rule, String detail) {
        violations.add(new Violation(rule, detail));
    }

    private void checkAcknowledgements() {
        Map<Long, Set<String>> textsByBase = new HashMap<>();
        for (ChangeResponded response : acknowledged) {
            if (response.document().isEmpty()) {
                report(Rule.CONFIG, "an invalid configuration was acknowledged: " + response.text());
            }
            textsByBase.computeIfAbsent(response.base(), any -> new HashSet<>()).add(response.text());
        }
        textsByBase.forEach((base, texts) -> {
            if (texts.size() > 1) {
                report(Rule.CONFIG, "several changes of version " + base + " were acknowledged: " + texts);
            }
        });
    }

    private void checkReadBack(ReadBack read) {
        long newest = acknowledged.stream()
                .filter(response -> response.atMs() <= read.sentAtMs())
                .flatMap(response -> response.document().stream())
                .mapToLong(FleetConfiguration::version)
                .max()
                .orElse(0);
        long version = FleetConfiguration.versionOf(read.text());
        if (version < newest) {
            report(Rule.CONFIG, "read version " + version + " after the acknowledgement of version " + newest);
        }
        boolean wasSent = sentChanges.stream()
                .flatMap(change -> change.document().stream())
                .anyMatch(document -> document.hasSameContentAs(read.text()));
        if (version > 0 && !wasSent) {
            report(Rule.CONFIG, "read a configuration that the operator did not send: " + read.text());
        }
    }

    private void checkRoute(AttemptSent attempt, RunStarted run) {
        if (sentChanges.stream()
                .flatMap(change -> change.document().stream())
                .noneMatch(document -> allows(document, attempt, run))) {
            report(
                    Rule.ROUTE,
                    attempt.attemptId() + " on " + attempt.request().route().name() + " ran at " + run.server());
        }
    }

    private static boolean allows(FleetConfiguration document, AttemptSent attempt, RunStarted run) {
        return document.allowedServices(
                        attempt.request().route().host(), attempt.request().target())
                .contains(run.server().service());
    }

    /** Checks that a request sent long after an acknowledgement is handled by that version or a later one. */
    private void checkStaleness(AttemptSent attempt) {
        long requiredVersion = requiredVersion(attempt);
        Optional<AttemptEnded> ended = attempts.ended(attempt.attemptId());
        if (requiredVersion == 0 || ended.isEmpty()) {
            return;
        }
        List<FleetConfiguration> valid = sentChanges.stream()
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
        boolean mayLackRoute = valid.stream().anyMatch(document -> document.allowedServices(
                        attempt.request().route().host(), attempt.request().target())
                .isEmpty());
        if (ended.get().status() == NOT_FOUND && !mayLackRoute) {
            report(Rule.STALE, attempt.attemptId() + " received 404 long after version " + requiredVersion);
        }
    }

    private long requiredVersion(AttemptSent attempt) {
        return acknowledged.stream()
                .filter(response -> attempt.atMs() > response.atMs() + FleetBounds.CONFIG_APPLY_MS
                        && hadNoFaults(response.atMs(), attempt.atMs()))
                .flatMap(response -> response.document().stream())
                .mapToLong(FleetConfiguration::version)
                .max()
                .orElse(0);
    }

    /** Whether no process had a fault from {@link FleetBounds#CONTACT_MS} before {@code from} until {@code to}. */
    private boolean hadNoFaults(double from, double to) {
        return faults.stream().noneMatch(fault -> fault.atMs() > from - FleetBounds.CONTACT_MS && fault.atMs() < to);
    }
}
