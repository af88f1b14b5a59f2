package dewplank.emulator.fleet;

import dewplank.emulator.fleet.FleetEvent.AttemptEnded;
import dewplank.emulator.fleet.FleetEvent.AttemptSent;
import dewplank.emulator.fleet.FleetEvent.ConnectionReused;
import dewplank.emulator.fleet.FleetEvent.ProcessFault;
import dewplank.emulator.fleet.FleetEvent.ProcessFaulted;
import dewplank.emulator.fleet.FleetEvent.RunEnd;
import dewplank.emulator.fleet.FleetEvent.RunEnded;
import dewplank.emulator.fleet.FleetEvent.StandInsStalled;
import dewplank.emulator.fleet.Violation.Rule;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Checks requests whose connection ends without a complete response. Around a planned operation (SIGTERM, SIGHUP) this
 * must not happen to a request that was forwarded to a server, nor to one that was sent on a reused connection and
 * ended later than the slack. Without any fault, a data plane may interrupt a few forwarded requests. Only faults of
 * the data plane's own process are considered.
 */
final class LostRequestRules {
    private static final int MS_PER_S = 1_000;
    private static final double GRACE_MS = FleetBounds.GRACE_S * MS_PER_S;
    /** Time after SIGTERM within which an interruption is attributed to the termination. */
    private static final double EXIT_WINDOW_MS = GRACE_MS + MS_PER_S;
    /** Time from SIGTERM to the start of the last sixth of the grace period. */
    private static final double LAST_SIXTH_START_MS = GRACE_MS * 5 / 6;
    /** Latest time after SIGTERM at which a request that may be interrupted as long-running is sent. */
    private static final double MAX_SENT_AFTER_MS = 3_000;

    private static final int MAX_INTERRUPTED_WITHOUT_FAULT = 3;
    private static final Set<ProcessFault> UNPLANNED_FAULTS =
            Set.of(ProcessFault.KILLED, ProcessFault.FROZEN, ProcessFault.THAWED, ProcessFault.WIPED);
    /** Faults that interrupt the connections of a process. A SIGHUP does not. */
    private static final Set<ProcessFault> DISCONNECTING_FAULTS = Set.of(
            ProcessFault.STARTED,
            ProcessFault.KILLED,
            ProcessFault.TERMINATED,
            ProcessFault.FROZEN,
            ProcessFault.THAWED,
            ProcessFault.WIPED);

    private final AttemptLog attempts;
    private final Set<String> onReusedConnection = new HashSet<>();
    private final Map<String, List<RunEnded>> runEnds;
    private final Map<String, List<ProcessFaulted>> faults;
    private final List<StandInsStalled> stalls;
    private final Map<String, List<String>> interruptedWithoutFault = new HashMap<>();
    private final List<Violation> violations = new ArrayList<>();

    LostRequestRules(List<FleetEvent> events, AttemptLog attempts) {
        this.attempts = attempts;
        FleetEvent.ofType(events, ConnectionReused.class).forEach(event -> onReusedConnection.add(event.attemptId()));
        runEnds =
                FleetEvent.ofType(events, RunEnded.class).stream().collect(Collectors.groupingBy(RunEnded::attemptId));
        faults = FleetEvent.ofType(events, ProcessFaulted.class).stream()
                .collect(Collectors.groupingBy(ProcessFaulted::node));
        stalls = FleetEvent.ofType(events, StandInsStalled.class);
    }

    List<Violation> check() {
        for (AttemptSent sent : attempts.all()) {
            attempts.ended(sent.attemptId())
                    .filter(ended -> isInterrupted(sent, ended))
                    .ifPresent(ended -> check(sent, ended));
        }
        interruptedWithoutFault.forEach((node, ids) -> {
            if (ids.size() > MAX_INTERRUPTED_WITHOUT_FAULT) {
                report(node + " interrupted forwarded requests, without a fault: " + ids);
            }
        });
        return violations;
    }

    private void report(String detail) {
        violations.add(new Violation(Rule.LOST, detail));
    }

    /** Whether the data plane closed the connection before the response was complete or the request had timed out. */
    private boolean isInterrupted(AttemptSent sent, AttemptEnded ended) {
        int timeoutMs =
                Math.min(sent.request().timeoutMs(), sent.request().route().timeoutMs());
        return !ended.complete()
                && !ended.abandoned()
                && ended.atMs() - sent.atMs() < timeoutMs
                && runEnds(sent).stream().noneMatch(run -> run.end() == RunEnd.CRASHED);
    }

    private void check(AttemptSent sent, AttemptEnded ended) {
        boolean isForwarded = !attempts.arrivals(sent.attemptId()).isEmpty();
        boolean isLate = onReusedConnection.contains(sent.attemptId())
                && ended.atMs() - sent.atMs() - stalledMs(sent.atMs(), ended.atMs()) > FleetBounds.LOSS_SLACK_MS;
        if ((isForwarded || isLate) && !hadFault(UNPLANNED_FAULTS, sent, ended)) {
            faults(sent).stream()
                    .filter(operation -> coincides(operation, sent, ended))
                    .reduce((earlier, later) -> later)
                    .ifPresent(operation -> report(description(sent, ended, isForwarded, operation)));
        }
        if (isForwarded && !hadFault(DISCONNECTING_FAULTS, sent, ended)) {
            interruptedWithoutFault
                    .computeIfAbsent(sent.node(), any -> new ArrayList<>())
                    .add(sent.attemptId());
        }
    }

    /** How long the stand-ins were stalled in the time span; the data plane did not cause this delay. */
    private double stalledMs(double fromMs, double toMs) {
        return stalls.stream()
                .mapToDouble(stall -> stall.overlapMs(fromMs, toMs))
                .sum();
    }

    private static String description(
            AttemptSent sent, AttemptEnded ended, boolean isForwarded, ProcessFaulted operation) {
        return String.format(
                "%s on %s at %s, ended at %s, sent %.0f ms and ended %.0f ms after %s, %s, status %d",
                sent.attemptId(),
                sent.request().route().name(),
                sent.node(),
                Instant.ofEpochMilli((long) ended.atMs()),
                sent.atMs() - operation.atMs(),
                ended.atMs() - operation.atMs(),
                operation.fault(),
                isForwarded ? "was forwarded" : "was not forwarded",
                ended.status());
    }

    private List<RunEnded> runEnds(AttemptSent sent) {
        return runEnds.getOrDefault(sent.attemptId(), List.of());
    }

    private List<ProcessFaulted> faults(AttemptSent sent) {
        return faults.getOrDefault(sent.node(), List.of());
    }

    private boolean hadFault(Set<ProcessFault> kinds, AttemptSent sent, AttemptEnded ended) {
        return faults(sent).stream()
                .anyMatch(fault -> kinds.contains(fault.fault())
                        && fault.atMs() >= sent.atMs() - FleetBounds.CONTACT_MS
                        && fault.atMs() <= ended.atMs());
    }

    private boolean coincides(ProcessFaulted operation, AttemptSent sent, AttemptEnded ended) {
        double endedAfterMs = ended.atMs() - operation.atMs();
        double sentAfterMs = sent.atMs() - operation.atMs();
        return switch (operation.fault()) {
            case TERMINATED -> endedAfterMs >= 0
                    && endedAfterMs <= EXIT_WINDOW_MS
                    && !isLongRunning(operation, sent, sentAfterMs);
            case RELOADED -> endedAfterMs >= 0 && sentAfterMs <= FleetBounds.CONFIG_APPLY_MS;
            default -> false;
        };
    }

    /** Whether the request was sent early enough and was still running in the last sixth of the grace period. */
    private boolean isLongRunning(ProcessFaulted termination, AttemptSent sent, double sentAfterMs) {
        return sentAfterMs <= MAX_SENT_AFTER_MS
                && runEnds(sent).stream()
                        .anyMatch(run -> run.end() == RunEnd.CALLER_LEFT
                                && run.atMs() >= termination.atMs() + LAST_SIXTH_START_MS);
    }
}
