package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.Answered;
import dewplank.emulator.fleet.FleetEvent.Arrived;
import dewplank.emulator.fleet.FleetEvent.AttemptEnded;
import dewplank.emulator.fleet.FleetEvent.AttemptSent;
import dewplank.emulator.fleet.FleetEvent.ListedDraining;
import dewplank.emulator.fleet.FleetEvent.RunRejected;
import dewplank.emulator.fleet.FleetEvent.RunStarted;
import dewplank.emulator.fleet.FleetEvent.UnexpectedBytes;
import dewplank.emulator.fleet.Violation.Rule;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** Rules for each request: where it may arrive, how often it may run, and what its response may be. */
final class RequestRules {
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);
    private static final String HANDLE_PATH = "/kv-handle/";

    private final List<FleetEvent> events;
    private final AttemptLog attempts;
    private final Map<String, Answered> bySeal = new HashMap<>();
    private final List<Violation> found = new ArrayList<>();

    RequestRules(List<FleetEvent> events, AttemptLog attempts) {
        this.events = events;
        this.attempts = attempts;
        FleetEvent.only(events, Answered.class)
                .forEach(answer -> answer.seal().ifPresent(seal -> bySeal.put(seal, answer)));
    }

    List<Violation> check() {
        for (AttemptSent sent : attempts.all()) {
            checkRuns(sent);
            if (!sent.request().route().kind().streaming()) {
                attempts.ended(sent.attemptId())
                        .filter(AttemptEnded::isSuccess)
                        .ifPresent(ended -> checkSuccess(sent, ended));
            }
        }
        FleetEvent.only(events, UnexpectedBytes.class)
                .forEach(bytes ->
                        report(Rule.MIXED, "no request waited for what " + bytes.node() + " sent: " + bytes.text()));
        FleetEvent.only(events, Arrived.class).forEach(this::checkArrival);
        FleetEvent.only(events, ListedDraining.class).forEach(this::checkDrained);
        return found;
    }

    private void report(Rule rule, String detail) {
        found.add(new Violation(rule, detail));
    }

    private void checkRuns(AttemptSent sent) {
        List<RunStarted> runs = attempts.runs(sent.attemptId());
        boolean idempotent = sent.request().route().kind().idempotent();
        if (!idempotent && runs.size() > 1) {
            report(Rule.TWICE, sent.attemptId() + " ran at " + runs);
        }
        if (!idempotent && !runs.isEmpty()) {
            attempts.ended(sent.attemptId())
                    .filter(ended -> NOT_EXECUTED_STATUSES.contains(ended.status()))
                    .ifPresent(ended ->
                            report(Rule.REFUSED, sent.attemptId() + " got " + ended.status() + " and ran at " + runs));
        }
    }

    private void checkSuccess(AttemptSent sent, AttemptEnded ended) {
        Optional<Answered> answer = ended.seal().map(bySeal::get);
        if (answer.filter(own -> isReceived(own, sent, ended)).isEmpty()) {
            report(Rule.MIXED, sent.attemptId() + " got " + ended + " where the server gave " + answer);
        }
    }

    /** Whether the client's attempt ended with this answer, and the answer is to that attempt. */
    private static boolean isReceived(Answered answer, AttemptSent sent, AttemptEnded ended) {
        return answer.attemptId().equals(sent.attemptId())
                && answer.status() == ended.status()
                && answer.body().equals(ended.body());
    }

    private void checkArrival(Arrived arrived) {
        if (arrived.target().startsWith(HANDLE_PATH) || arrived.target().equals("/health")) {
            return;
        }
        Optional<AttemptSent> sent = attempts.sent(arrived.attemptId());
        boolean isUnchanged = sent.map(AttemptSent::request)
                .filter(request -> request.method().equals(arrived.method())
                        && request.target().equals(arrived.target())
                        && request.body().equals(arrived.body()))
                .isPresent();
        if (!isUnchanged) {
            report(Rule.UNASKED, "a server got " + arrived + ", sent was " + sent);
        }
    }

    private void checkDrained(ListedDraining drained) {
        double deadlineMs = drained.atMs() + FleetBounds.DRAIN_MS;
        for (Arrived arrival : FleetEvent.only(events, Arrived.class)) {
            boolean isLate = arrival.server().equals(drained.server())
                    && arrival.atMs() > deadlineMs
                    && !arrival.target().startsWith(HANDLE_PATH);
            if (isLate && !wasForAnotherInstance(arrival)) {
                report(
                        Rule.DRAIN,
                        arrival.attemptId() + " reached " + arrival.server().instanceId() + " "
                                + (arrival.atMs() - drained.atMs()) + " ms after it was shown as draining");
            }
        }
    }

    private boolean wasForAnotherInstance(Arrived arrival) {
        return FleetEvent.only(events, RunRejected.class).stream()
                .anyMatch(rejected -> rejected.status() == 421
                        && rejected.attemptId().equals(arrival.attemptId())
                        && rejected.server().equals(arrival.server()));
    }
}
