package dewplank.lab;

import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.RequestClassSpec;
import dewplank.emulator.scenario.Scenario;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Checks the four rules from what clients, servers and the directory recorded. It knows nothing of the decision module
 * and nothing of a sidecar's own words. Notes come in the order of their times; of an old request that has ended it
 * keeps nothing, so a run may be of any length.
 */
public final class Auditor implements RecordedEvent.Recorder {

    /** One finding; {@code timeline}: all that is known of the request, one event a line, in the order of time. */
    public record Violation(Rule rule, double atMs, long request, String description, String timeline) {}

    private static final int MAX_RETAINED_VIOLATIONS = 50;
    private static final double RETENTION_MS = 3_000;
    private static final double MIN_NOTIFIED_FRACTION = 2.0 / 3;

    /** One try of a client's, as all parties saw it. */
    private static final class ObservedAttempt {
        final RecordedEvent sent;
        final List<RecordedEvent> events = new ArrayList<>(8);
        double firstReceivedAtMs = Double.NaN;
        int firstServer = -1;
        int receptions;
        int effectCount;
        int answerCount;
        int completeAnswers;
        boolean wasRefused;
        boolean wasReceived;

        ObservedAttempt(RecordedEvent sent) {
            this.sent = sent;
            events.add(sent);
        }
    }

    private record OfferedWork(double atMs, double work, boolean senderNotified) {}

    private final Scenario scenario;
    private final double slackMs;
    private final int[] zoneOf;
    private final Map<Long, ObservedAttempt> attempts = new HashMap<>();
    private final ArrayDeque<ObservedAttempt> attemptsByAge = new ArrayDeque<>();
    private final Map<Long, Double> notifiedGoneAtMs = new HashMap<>();
    private final Map<Long, Double> notifiedStartMs = new HashMap<>();
    private final Map<Integer, Double> startedAtMs = new HashMap<>();
    private final Map<Integer, ArrayDeque<OfferedWork>> offeredWork = new HashMap<>();
    private final Map<Integer, Double> sidecarDownAtMs = new HashMap<>();
    private final Map<Integer, Double> sidecarUpAtMs = new HashMap<>();
    private final Map<Rule, Integer> counts = new EnumMap<>(Rule.class);
    private final List<Violation> retainedViolations = new ArrayList<>();
    private long requestsSent;

    /** {@code slackMs}: how much later than told or sent a record may be, by the way that messages take. */
    public Auditor(Scenario scenario, double slackMs) {
        this.scenario = scenario;
        this.slackMs = slackMs;
        this.zoneOf = new int[scenario.servers().count()];
        for (int i = 0; i < zoneOf.length; i++) {
            zoneOf[i] = i % scenario.zones().size();
        }
    }

    public long requestsSent() {
        return requestsSent;
    }

    public int violations() {
        return counts.values().stream().mapToInt(Integer::intValue).sum();
    }

    public Map<Rule, Integer> counts() {
        return counts;
    }

    /** The first ones, with their time lines. */
    public List<Violation> retainedViolations() {
        return retainedViolations;
    }

    public String verdict() {
        return counts.isEmpty()
                ? "kept all rules (" + requestsSent + " requests)"
                : counts.entrySet().stream()
                        .map(e -> e.getKey()
                                        .printedName()
                                        .toLowerCase(Locale.ROOT)
                                        .replace('_', ' ') + ": " + e.getValue())
                        .collect(Collectors.joining(", ", "broken: ", ""));
    }

    @Override
    public void record(RecordedEvent event) {
        switch (event.type()) {
            case SENT -> sent(event);
            case SERVED, REFUSED, FAILED, UNREACHABLE, ABANDONED -> answer(event);
            case RECEIVED -> received(event);
            case REJECTED -> rejected(event);
            case STARTED, DEDUPLICATED -> appendTo(event);
            case EFFECT -> effect(event);
            case NOTIFIED_DRAINING, NOTIFIED_REMOVED -> notifiedGoneAtMs.putIfAbsent(pair(event), event.atMs());
            case NOTIFIED_UP -> {
                notifiedGoneAtMs.remove(pair(event));
                notifiedStartMs.put(pair(event), event.value());
            }
            case SIDECAR_KILLED -> sidecarDownAtMs.put(event.sidecar(), event.atMs());
            case SIDECAR_UP -> sidecarUp(event);
            case SERVER_STARTED -> {
                startedAtMs.put(event.server(), event.atMs());
                offeredWork.put(event.server(), new ArrayDeque<>());
            }
            case SERVER_DOWN -> {}
            case SERVER_COLLAPSED -> collapsed(event);
        }
    }

    /** A new process was told nothing yet; it has its list from where it was kept, and is told anew. */
    private void sidecarUp(RecordedEvent event) {
        sidecarUpAtMs.put(event.sidecar(), event.atMs());
        notifiedGoneAtMs.keySet().removeIf(k -> k >>> 32 == event.sidecar());
        notifiedStartMs.keySet().removeIf(k -> k >>> 32 == event.sidecar());
    }

    private static long pair(RecordedEvent event) {
        return (long) event.sidecar() << 32 | event.server();
    }

    private ObservedAttempt appendTo(RecordedEvent event) {
        ObservedAttempt attempt = attempts.get(event.request());
        if (attempt != null) {
            attempt.events.add(event);
        }
        return attempt;
    }

    // ---- one final answer, in time --------------------------------------------------------------------

    private void sent(RecordedEvent event) {
        requestsSent++;
        ObservedAttempt attempt = new ObservedAttempt(event);
        attempts.put(event.request(), attempt);
        attemptsByAge.addLast(attempt);
        double oldestMs = event.atMs() - scenario.longestDeadlineMs() - RETENTION_MS;
        while (attemptsByAge.peekFirst().sent.atMs() < oldestMs) {
            forget(attemptsByAge.removeFirst());
        }
    }

    private void forget(ObservedAttempt attempt) {
        attempts.remove(attempt.sent.request());
        if (attempt.answerCount == 0) {
            report(Rule.NOT_ANSWERED, attempt, attempt.sent, "nobody heard of it again");
        }
    }

    /** At the end of a run: whoever still waits was not answered. */
    public void end(double nowMs) {
        for (ObservedAttempt attempt : attemptsByAge) {
            if (attempt.answerCount == 0 && attempt.sent.value() < nowMs) {
                report(Rule.NOT_ANSWERED, attempt, attempt.sent, "nobody heard of it again");
            }
        }
    }

    private void answer(RecordedEvent event) {
        ObservedAttempt attempt = appendTo(event);
        if (attempt == null) {
            return;
        }
        attempt.answerCount++;
        boolean complete = event.type() != Type.ABANDONED && event.type() != Type.UNREACHABLE;
        if (complete && ++attempt.completeAnswers > 1) {
            report(Rule.ANSWERED_TWICE, attempt, event, "it had an answer before");
        }
        if (attempt.answerCount > 1) {
            return; // one that was on its way when the client left
        }
        double latestAtMs = attempt.sent.value() + scenario.rules().answerSlackMs() + slackMs;
        switch (event.type()) {
            case ABANDONED -> {
                if (event.value() == 0) {
                    report(Rule.NOT_ANSWERED, attempt, event, "the client waited for its whole time");
                }
            }
            case UNREACHABLE -> {
                if (!wasDownBetween(event.sidecar(), attempt.sent.atMs() - slackMs, event.atMs())) {
                    report(Rule.LOST, attempt, event, "its sidecar was up all the time");
                }
            }
            default -> {
                if (event.atMs() > latestAtMs) {
                    report(
                            Rule.ANSWERED_AFTER_DEADLINE,
                            attempt,
                            event,
                            "%.0f ms after its time".formatted(event.atMs() - attempt.sent.value()));
                }
            }
        }
        if (event.type() == Type.SERVED && (event.value() != event.request() || !attempt.wasReceived)) {
            report(
                    Rule.WRONG_ANSWER,
                    attempt,
                    event,
                    attempt.wasReceived ? "the answer was made for another request" : "no server ever had it");
        }
        if (event.type() == Type.REFUSED) {
            attempt.wasRefused = true;
            if (attempt.receptions > 0 && !mayRejectAfterRun(attempt)) {
                report(Rule.REFUSED_AFTER_RUN, attempt, event, "server " + attempt.firstServer + " had it");
            }
        }
    }

    private boolean wasDownBetween(int sidecar, double fromMs, double toMs) {
        Double downAtMs = sidecarDownAtMs.get(sidecar);
        Double upAtMs = sidecarUpAtMs.get(sidecar);
        return upAtMs == null
                || downAtMs != null && downAtMs <= toMs && (upAtMs < downAtMs || upAtMs + slackMs >= fromMs);
    }

    private boolean mayRejectAfterRun(ObservedAttempt attempt) {
        RequestClassSpec requestKind = requestKind(attempt);
        return requestKind.idempotency() == Idempotency.SAFE
                || requestKind.idempotency() == Idempotency.KEYED
                        && requestKind.deduplicationScope() == DeduplicationScope.ALL;
    }

    private RequestClassSpec requestKind(ObservedAttempt attempt) {
        return scenario.classes().get(attempt.sent.requestClass());
    }

    // ---- no double effect -----------------------------------------------------------------------------

    private void received(RecordedEvent event) {
        offered(event);
        Double notifiedAtMs = notifiedGoneAtMs.get(pair(event));
        ObservedAttempt attempt = appendTo(event);
        if (notifiedAtMs != null
                && event.atMs() - notifiedAtMs > scenario.rules().drainMs() + slackMs) {
            report(
                    Rule.SENT_TO_DRAINED,
                    attempt,
                    event,
                    "its sidecar was told %.0f ms before".formatted(event.atMs() - notifiedAtMs));
        }
        if (attempt == null) {
            return;
        }
        attempt.wasReceived = true;
        RequestClassSpec requestKind = requestKind(attempt);
        if (attempt.receptions > 0 && requestKind.idempotency() == Idempotency.UNSAFE) {
            report(Rule.SENT_TWICE, attempt, event, "server " + attempt.firstServer + " had it, and it may have run");
        }
        if (attempt.receptions > 0 && requestKind.idempotency() == Idempotency.KEYED) {
            if (event.atMs() - attempt.firstReceivedAtMs > requestKind.deduplicationWindowMs() + slackMs) {
                report(
                        Rule.KEYED_AFTER_WINDOW,
                        attempt,
                        event,
                        "%.0f ms after the first".formatted(event.atMs() - attempt.firstReceivedAtMs));
            }
            if (deduplicationGroup(requestKind, event.server())
                    != deduplicationGroup(requestKind, attempt.firstServer)) {
                report(
                        Rule.KEYED_OUTSIDE_SCOPE,
                        attempt,
                        event,
                        "server " + attempt.firstServer + " had it, in another group");
            }
        }
        if (attempt.wasRefused && !mayRejectAfterRun(attempt)) {
            report(Rule.REFUSED_AFTER_RUN, attempt, event, "the client had been told that it never ran");
        }
        if (attempt.receptions++ == 0) {
            attempt.firstReceivedAtMs = event.atMs();
            attempt.firstServer = event.server();
        }
    }

    private int deduplicationGroup(RequestClassSpec requestKind, int server) {
        return switch (requestKind.deduplicationScope()) {
            case ALL -> 0;
            case ZONE -> zoneOf[server];
            case CELL -> server / scenario.servers().cellSize();
        };
    }

    private void rejected(RecordedEvent event) {
        ObservedAttempt attempt = appendTo(event);
        if (attempt != null && --attempt.receptions == 0) {
            attempt.firstReceivedAtMs = Double.NaN;
            attempt.firstServer = -1;
        }
    }

    private void effect(RecordedEvent event) {
        ObservedAttempt attempt = appendTo(event);
        if (attempt != null && ++attempt.effectCount > 1 && requestKind(attempt).idempotency() != Idempotency.SAFE) {
            report(Rule.EFFECT_TWICE, attempt, event, "its effect had taken place before");
        }
    }

    // ---- cold servers ---------------------------------------------------------------------------------

    private void offered(RecordedEvent event) {
        ArrayDeque<OfferedWork> window = offeredWork.get(event.server());
        if (window == null) {
            return;
        }
        Double start = notifiedStartMs.get(pair(event));
        window.addLast(new OfferedWork(
                event.atMs(), event.value(), start != null && start >= startedAtMs.get(event.server()) - slackMs));
        while (window.peekFirst().atMs() < event.atMs() - scenario.rules().collapseWindowMs()) {
            window.removeFirst();
        }
        if (event.atMs() - startedAtMs.get(event.server()) > scenario.rules().warmUpMs()) {
            offeredWork.remove(event.server());
        }
    }

    /** Its own record says that it broke down cold; the fault is the sidecars' if most came from those who knew. */
    private void collapsed(RecordedEvent event) {
        ArrayDeque<OfferedWork> window = offeredWork.getOrDefault(event.server(), new ArrayDeque<>());
        double all = window.stream().mapToDouble(OfferedWork::work).sum();
        double notified = window.stream()
                .filter(OfferedWork::senderNotified)
                .mapToDouble(OfferedWork::work)
                .sum();
        if (all > 0 && notified >= MIN_NOTIFIED_FRACTION * all) {
            report(
                    Rule.COLD_SERVER_OVERLOADED,
                    null,
                    event,
                    "server %d got %.0f ms of work in %.1f s, %.0f %% from those told"
                            .formatted(
                                    event.server(),
                                    all,
                                    scenario.rules().collapseWindowMs() / 1000,
                                    100 * notified / all));
        }
    }

    // ---- findings -------------------------------------------------------------------------------------

    private void report(Rule rule, ObservedAttempt attempt, RecordedEvent event, String description) {
        counts.merge(rule, 1, Integer::sum);
        if (retainedViolations.size() < MAX_RETAINED_VIOLATIONS) {
            retainedViolations.add(new Violation(
                    rule,
                    event.atMs(),
                    event.request(),
                    description,
                    attempt == null
                            ? timeline(event)
                            : attempt.events.stream().map(Auditor::timeline).collect(Collectors.joining("\n"))));
        }
    }

    private static String timeline(RecordedEvent event) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%12.3f  %-13s",
                event.atMs(),
                event.type().name().toLowerCase(Locale.ROOT).replace('_', ' ')));
        if (event.request() >= 0) {
            text.append(" request ").append(event.request());
        }
        if (event.sidecar() >= 0) {
            text.append(" sidecar ").append(event.sidecar());
        }
        if (event.server() >= 0) {
            text.append(" server ").append(event.server());
        }
        if (event.value() != 0) {
            text.append(String.format(Locale.ROOT, " (%.3f)", event.value()));
        }
        return text.toString();
    }
}
