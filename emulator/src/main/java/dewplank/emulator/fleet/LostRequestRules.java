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
 * Rules for requests whose connection ends without a complete response. Around planned work (SIGTERM, SIGHUP) no
 * request may end so that was passed on to a server, or that was sent on a connection in use and ended later than the
 * slack. In calm times a data plane may end a few so. Trouble counts where it is on the data plane's own machine.
 */
final class LostRequestRules {
    private static final int MS_PER_S = 1_000;
    private static final double GRACE_MS = FleetBounds.GRACE_S * MS_PER_S;
    private static final double PLANNED_END_MS = GRACE_MS + MS_PER_S; // after SIGTERM
    private static final double LAST_SIXTH_MS = GRACE_MS * 5 / 6; // after SIGTERM: the rest of the grace
    private static final double SENT_BY_MS = 3_000; // after SIGTERM
    private static final int MAX_IN_CALM_TIMES = 3;
    private static final Set<ProcessFault> TROUBLE =
            Set.of(ProcessFault.KILLED, ProcessFault.FROZEN, ProcessFault.THAWED, ProcessFault.WIPED);
    /** What ends contact with a machine. A SIGHUP doesn't. */
    private static final Set<ProcessFault> OUT_OF_TOUCH = Set.of(
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
    private final Map<String, List<String>> endedInCalmTimes = new HashMap<>();
    private final List<Violation> found = new ArrayList<>();

    LostRequestRules(List<FleetEvent> events, AttemptLog attempts) {
        this.attempts = attempts;
        FleetEvent.only(events, ConnectionReused.class).forEach(event -> onReusedConnection.add(event.attemptId()));
        runEnds = FleetEvent.only(events, RunEnded.class).stream().collect(Collectors.groupingBy(RunEnded::attemptId));
        faults = FleetEvent.only(events, ProcessFaulted.class).stream()
                .collect(Collectors.groupingBy(ProcessFaulted::node));
        stalls = FleetEvent.only(events, StandInsStalled.class);
    }

    List<Violation> check() {
        for (AttemptSent sent : attempts.all()) {
            attempts.ended(sent.attemptId())
                    .filter(ended -> isCutOff(sent, ended))
                    .ifPresent(ended -> check(sent, ended));
        }
        endedInCalmTimes.forEach((node, ids) -> {
            if (ids.size() > MAX_IN_CALM_TIMES) {
                report(node + " passed on and ended without a response, in calm times, " + ids);
            }
        });
        return found;
    }

    private void report(String detail) {
        found.add(new Violation(Rule.LOST, detail));
    }

    /** Whether the data plane's side ended the connection, before the response's end and before its time was up. */
    private boolean isCutOff(AttemptSent sent, AttemptEnded ended) {
        int timeoutMs =
                Math.min(sent.request().timeoutMs(), sent.request().route().timeoutMs());
        return !ended.complete()
                && !ended.abandoned()
                && ended.atMs() - sent.atMs() < timeoutMs
                && runEnds(sent).stream().noneMatch(run -> run.how() == RunEnd.CRASHED);
    }

    private void check(AttemptSent sent, AttemptEnded ended) {
        boolean isPassedOn = !attempts.arrivals(sent.attemptId()).isEmpty();
        boolean isLate = onReusedConnection.contains(sent.attemptId())
                && ended.atMs() - sent.atMs() - stalledMs(sent.atMs(), ended.atMs()) > FleetBounds.LOSS_SLACK_MS;
        if ((isPassedOn || isLate) && !hadFault(TROUBLE, sent, ended)) {
            faults(sent).stream()
                    .filter(work -> isAround(work, sent, ended))
                    .reduce((earlier, later) -> later)
                    .ifPresent(work -> report(description(sent, ended, isPassedOn, work)));
        }
        if (isPassedOn && !hadFault(OUT_OF_TOUCH, sent, ended)) {
            endedInCalmTimes
                    .computeIfAbsent(sent.node(), any -> new ArrayList<>())
                    .add(sent.attemptId());
        }
    }

    /** How long the stand-ins were held up in that span, which is not the data plane's time. */
    private double stalledMs(double fromMs, double toMs) {
        return stalls.stream()
                .mapToDouble(stall -> stall.overlapMs(fromMs, toMs))
                .sum();
    }

    private static String description(AttemptSent sent, AttemptEnded ended, boolean isPassedOn, ProcessFaulted work) {
        return String.format(
                "%s on %s at %s, ended at %s, sent %.0f ms and ended %.0f ms after %s, %s, status %d",
                sent.attemptId(),
                sent.request().route().name(),
                sent.node(),
                Instant.ofEpochMilli((long) ended.atMs()),
                sent.atMs() - work.atMs(),
                ended.atMs() - work.atMs(),
                work.fault(),
                isPassedOn ? "was passed on" : "was not passed on",
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

    private boolean isAround(ProcessFaulted work, AttemptSent sent, AttemptEnded ended) {
        double endedAfterMs = ended.atMs() - work.atMs();
        double sentAfterMs = sent.atMs() - work.atMs();
        return switch (work.fault()) {
            case TERMINATED -> endedAfterMs >= 0
                    && endedAfterMs <= PLANNED_END_MS
                    && !isLongRunning(work, sent, sentAfterMs);
            case RELOADED -> endedAfterMs >= 0 && sentAfterMs <= FleetBounds.CONFIG_APPLY_MS;
            default -> false;
        };
    }

    /** Whether a server was still at work in the last sixth of the grace on a request that was sent early enough. */
    private boolean isLongRunning(ProcessFaulted termination, AttemptSent sent, double sentAfterMs) {
        return sentAfterMs <= SENT_BY_MS
                && runEnds(sent).stream()
                        .anyMatch(run ->
                                run.how() == RunEnd.CALLER_LEFT && run.atMs() >= termination.atMs() + LAST_SIXTH_MS);
    }
}
