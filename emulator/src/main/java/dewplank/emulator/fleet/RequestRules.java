package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.Arrived;
import dewplank.emulator.fleet.FleetEvent.AttemptEnded;
import dewplank.emulator.fleet.FleetEvent.AttemptSent;
import dewplank.emulator.fleet.FleetEvent.ListedDraining;
import dewplank.emulator.fleet.FleetEvent.ResponseSent;
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

/** Checks for each request where it arrived, how often it was run, and which response the client received. */
final class RequestRules {
    private static final Set<Integer> NOT_EXECUTED_STATUSES = Set.of(408, 421, 429, 503);
    private static final String HANDLE_PATH = "/kv-handle/";

    private final List<FleetEvent> events;
    private final AttemptLog attempts;
    private final Map<String, ResponseSent> responsesBySeal = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();

    RequestRules(List<FleetEvent> events, AttemptLog attempts) {
        this.events = events;
        this.attempts = attempts;
        FleetEvent.ofType(events, ResponseSent.class)
                .forEach(response -> response.seal().ifPresent(seal -> responsesBySeal.put(seal, response)));
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
        FleetEvent.ofType(events, UnexpectedBytes.class)
                .forEach(bytes ->
                        report(Rule.MIXED, "no request was pending when " + bytes.node() + " sent: " + bytes.text()));
        FleetEvent.ofType(events, Arrived.class).forEach(this::checkArrival);
        FleetEvent.ofType(events, ListedDraining.class).forEach(this::checkDraining);
        return violations;
    }

    private void report(Rule rule, String detail) {
        violations.add(new Violation(rule, detail));
    }

    private void checkRuns(AttemptSent sent) {
        List<RunStarted> runs = attempts.runs(sent.attemptId());
        boolean idempotent = sent.request().route().kind().idempotent();
        if (!idempotent && runs.size() > 1) {
            report(Rule.TWICE, sent.attemptId() + " was run more than once: " + runs);
        }
        if (!idempotent && !runs.isEmpty()) {
            attempts.ended(sent.attemptId())
                    .filter(ended -> NOT_EXECUTED_STATUSES.contains(ended.status()))
                    .ifPresent(ended -> report(
                            Rule.REFUSED,
                            sent.attemptId() + " received status " + ended.status() + " but was run: " + runs));
        }
    }

    private void checkSuccess(AttemptSent sent, AttemptEnded ended) {
        Optional<ResponseSent> response = ended.seal().map(responsesBySeal::get);
        if (response.filter(candidate -> isReceived(candidate, sent, ended)).isEmpty()) {
            report(Rule.MIXED, sent.attemptId() + " received " + ended + ", but the server sent " + response);
        }
    }

    /** Whether the client received this response, and the server sent it to the client's attempt. */
    private static boolean isReceived(ResponseSent response, AttemptSent sent, AttemptEnded ended) {
        return response.attemptId().equals(sent.attemptId())
                && response.status() == ended.status()
                && response.body().equals(ended.body());
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
            report(Rule.UNASKED, "a server received " + arrived + ", but the client sent " + sent);
        }
    }

    private void checkDraining(ListedDraining drained) {
        double deadlineMs = drained.atMs() + FleetBounds.DRAIN_MS;
        for (Arrived arrival : FleetEvent.ofType(events, Arrived.class)) {
            boolean isLate = arrival.server().equals(drained.server())
                    && arrival.atMs() > deadlineMs
                    && !arrival.target().startsWith(HANDLE_PATH);
            if (isLate && !namesAnotherInstance(arrival)) {
                report(
                        Rule.DRAIN,
                        arrival.attemptId() + " reached " + arrival.server().instanceId() + " "
                                + (arrival.atMs() - drained.atMs()) + " ms after it was listed as draining");
            }
        }
    }

    private boolean namesAnotherInstance(Arrived arrival) {
        return FleetEvent.ofType(events, RunRejected.class).stream()
                .anyMatch(rejected -> rejected.status() == 421
                        && rejected.attemptId().equals(arrival.attemptId())
                        && rejected.server().equals(arrival.server()));
    }
}
