package dewplank.lab;

import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.Scenario;
import dewplank.emulator.Scenario.RequestKind;
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

    /** What was broken. */
    public enum Rule {
        ANSWERED_TWICE,
        NOT_ANSWERED,
        ANSWERED_LATE,
        LOST,
        WRONG_ANSWER,
        SENT_TWICE,
        EFFECT_TWICE,
        REFUSED_AFTER_RUN,
        KEYED_TOO_LATE,
        KEYED_ELSEWHERE,
        SENT_TO_DRAINED,
        COLD_PUSHED_OVER
    }

    /** One finding; {@code line}: all that is known of the request, one event a line, in the order of time. */
    public record Violation(Rule rule, double at, long request, String what, String line) {}

    private static final int KEPT = 50;
    private static final double REMEMBER_MS = 3_000;
    private static final double TOLD_PART = 2.0 / 3;

    /** One try of a client's, as all parties saw it. */
    private static final class Incarnation {
        final RecordedEvent asked;
        final List<RecordedEvent> notes = new ArrayList<>(8);
        double firstRunAt = Double.NaN;
        int firstServer = -1;
        int ran;
        int effects;
        int answers;
        int finals;
        boolean refused;
        boolean everReceived;

        Incarnation(RecordedEvent asked) {
            this.asked = asked;
            notes.add(asked);
        }
    }

    private record OfferedWork(double at, double work, boolean knownCold) {}

    private final Scenario scenario;
    private final double slackMs;
    private final int[] zoneOf;
    private final Map<Long, Incarnation> lives = new HashMap<>();
    private final ArrayDeque<Incarnation> byAge = new ArrayDeque<>();
    private final Map<Long, Double> toldGone = new HashMap<>();
    private final Map<Long, Double> toldStart = new HashMap<>();
    private final Map<Integer, Double> startedAt = new HashMap<>();
    private final Map<Integer, ArrayDeque<OfferedWork>> pushes = new HashMap<>();
    private final Map<Integer, Double> sidecarDownAt = new HashMap<>();
    private final Map<Integer, Double> sidecarUpAt = new HashMap<>();
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
                        .map(e -> e.getKey().name().toLowerCase(Locale.ROOT).replace('_', ' ') + ": " + e.getValue())
                        .collect(Collectors.joining(", ", "broken: ", ""));
    }

    @Override
    public void record(RecordedEvent n) {
        switch (n.type()) {
            case SENT -> ask(n);
            case SERVED, REFUSED, FAILED, UNREACHABLE, ABANDONED -> answer(n);
            case RECEIVED -> received(n);
            case REJECTED -> turnedAway(n);
            case STARTED, DEDUPLICATED -> on(n);
            case EFFECT -> effect(n);
            case NOTIFIED_DRAINING, NOTIFIED_REMOVED -> toldGone.putIfAbsent(pair(n), n.atMs());
            case NOTIFIED_UP -> {
                toldGone.remove(pair(n));
                toldStart.put(pair(n), n.value());
            }
            case SIDECAR_KILLED -> sidecarDownAt.put(n.sidecar(), n.atMs());
            case SIDECAR_UP -> sidecarUp(n);
            case SERVER_STARTED -> {
                startedAt.put(n.server(), n.atMs());
                pushes.put(n.server(), new ArrayDeque<>());
            }
            case SERVER_DOWN -> {}
            case SERVER_COLLAPSED -> fell(n);
        }
    }

    /** A new process was told nothing yet; it has its list from where it was kept, and is told anew. */
    private void sidecarUp(RecordedEvent n) {
        sidecarUpAt.put(n.sidecar(), n.atMs());
        toldGone.keySet().removeIf(k -> k >>> 32 == n.sidecar());
        toldStart.keySet().removeIf(k -> k >>> 32 == n.sidecar());
    }

    private static long pair(RecordedEvent n) {
        return (long) n.sidecar() << 32 | n.server();
    }

    private Incarnation on(RecordedEvent n) {
        Incarnation life = lives.get(n.request());
        if (life != null) {
            life.notes.add(n);
        }
        return life;
    }

    // ---- one final answer, in time --------------------------------------------------------------------

    private void ask(RecordedEvent n) {
        requestsSent++;
        Incarnation life = new Incarnation(n);
        lives.put(n.request(), life);
        byAge.addLast(life);
        double before = n.atMs() - scenario.longestDeadlineMs() - REMEMBER_MS;
        while (byAge.peekFirst().asked.atMs() < before) {
            forget(byAge.removeFirst());
        }
    }

    private void forget(Incarnation life) {
        lives.remove(life.asked.request());
        if (life.answers == 0) {
            broken(Rule.NOT_ANSWERED, life, life.asked, "nobody heard of it again");
        }
    }

    /** At the end of a run: whoever still waits was not answered. */
    public void end(double now) {
        for (Incarnation life : byAge) {
            if (life.answers == 0 && life.asked.value() < now) {
                broken(Rule.NOT_ANSWERED, life, life.asked, "nobody heard of it again");
            }
        }
    }

    private void answer(RecordedEvent n) {
        Incarnation life = on(n);
        if (life == null) {
            return;
        }
        life.answers++;
        boolean whole = n.type() != Type.ABANDONED && n.type() != Type.UNREACHABLE;
        if (whole && ++life.finals > 1) {
            broken(Rule.ANSWERED_TWICE, life, n, "it had an answer before");
        }
        if (life.answers > 1) {
            return; // one that was on its way when the client left
        }
        double until = life.asked.value() + scenario.rules().answerSlackMs() + slackMs;
        switch (n.type()) {
            case ABANDONED -> {
                if (n.value() == 0) {
                    broken(Rule.NOT_ANSWERED, life, n, "the client waited for its whole time");
                }
            }
            case UNREACHABLE -> {
                if (!downBetween(n.sidecar(), life.asked.atMs() - slackMs, n.atMs())) {
                    broken(Rule.LOST, life, n, "its sidecar was up all the time");
                }
            }
            default -> {
                if (n.atMs() > until) {
                    broken(
                            Rule.ANSWERED_LATE,
                            life,
                            n,
                            "%.0f ms after its time".formatted(n.atMs() - life.asked.value()));
                }
            }
        }
        if (n.type() == Type.SERVED && (n.value() != n.request() || !life.everReceived)) {
            broken(
                    Rule.WRONG_ANSWER,
                    life,
                    n,
                    life.everReceived ? "the answer was made for another request" : "no server ever had it");
        }
        if (n.type() == Type.REFUSED) {
            life.refused = true;
            if (life.ran > 0 && !mayRefuseAfterRun(life)) {
                broken(Rule.REFUSED_AFTER_RUN, life, n, "server " + life.firstServer + " had it");
            }
        }
    }

    private boolean downBetween(int sidecar, double from, double to) {
        Double down = sidecarDownAt.get(sidecar);
        Double up = sidecarUpAt.get(sidecar);
        return up == null || down != null && down <= to && (up < down || up + slackMs >= from);
    }

    private boolean mayRefuseAfterRun(Incarnation life) {
        RequestKind kind = kind(life);
        return kind.idempotency() == Idempotency.SAFE
                || kind.idempotency() == Idempotency.KEYED && kind.scope() == DeduplicationScope.ALL;
    }

    private RequestKind kind(Incarnation life) {
        return scenario.classes().get(life.asked.requestClass());
    }

    // ---- no double effect -----------------------------------------------------------------------------

    private void received(RecordedEvent n) {
        pushed(n);
        Double told = toldGone.get(pair(n));
        Incarnation life = on(n);
        if (told != null && n.atMs() - told > scenario.rules().drainMs() + slackMs) {
            broken(Rule.SENT_TO_DRAINED, life, n, "its sidecar was told %.0f ms before".formatted(n.atMs() - told));
        }
        if (life == null) {
            return;
        }
        life.everReceived = true;
        RequestKind kind = kind(life);
        if (life.ran > 0 && kind.idempotency() == Idempotency.UNSAFE) {
            broken(Rule.SENT_TWICE, life, n, "server " + life.firstServer + " had it, and it may have run");
        }
        if (life.ran > 0 && kind.idempotency() == Idempotency.KEYED) {
            if (n.atMs() - life.firstRunAt > kind.windowMs() + slackMs) {
                broken(Rule.KEYED_TOO_LATE, life, n, "%.0f ms after the first".formatted(n.atMs() - life.firstRunAt));
            }
            if (group(kind, n.server()) != group(kind, life.firstServer)) {
                broken(Rule.KEYED_ELSEWHERE, life, n, "server " + life.firstServer + " had it, in another group");
            }
        }
        if (life.refused && !mayRefuseAfterRun(life)) {
            broken(Rule.REFUSED_AFTER_RUN, life, n, "the client had been told that it never ran");
        }
        if (life.ran++ == 0) {
            life.firstRunAt = n.atMs();
            life.firstServer = n.server();
        }
    }

    private int group(RequestKind kind, int server) {
        return switch (kind.scope()) {
            case ALL -> 0;
            case ZONE -> zoneOf[server];
            case CELL -> server / scenario.servers().cellSize();
        };
    }

    private void turnedAway(RecordedEvent n) {
        Incarnation life = on(n);
        if (life != null && --life.ran == 0) {
            life.firstRunAt = Double.NaN;
            life.firstServer = -1;
        }
    }

    private void effect(RecordedEvent n) {
        Incarnation life = on(n);
        if (life != null && ++life.effects > 1 && kind(life).idempotency() != Idempotency.SAFE) {
            broken(Rule.EFFECT_TWICE, life, n, "its effect had taken place before");
        }
    }

    // ---- cold servers ---------------------------------------------------------------------------------

    private void pushed(RecordedEvent n) {
        ArrayDeque<OfferedWork> own = pushes.get(n.server());
        if (own == null) {
            return;
        }
        Double start = toldStart.get(pair(n));
        own.addLast(
                new OfferedWork(n.atMs(), n.value(), start != null && start >= startedAt.get(n.server()) - slackMs));
        while (own.peekFirst().at() < n.atMs() - scenario.rules().collapseWindowMs()) {
            own.removeFirst();
        }
        if (n.atMs() - startedAt.get(n.server()) > scenario.rules().warmUpMs()) {
            pushes.remove(n.server());
        }
    }

    /** Its own record says that it broke down cold; the fault is the sidecars' if most came from those who knew. */
    private void fell(RecordedEvent n) {
        ArrayDeque<OfferedWork> own = pushes.getOrDefault(n.server(), new ArrayDeque<>());
        double all = own.stream().mapToDouble(OfferedWork::work).sum();
        double told = own.stream()
                .filter(OfferedWork::knownCold)
                .mapToDouble(OfferedWork::work)
                .sum();
        if (all > 0 && told >= TOLD_PART * all) {
            broken(
                    Rule.COLD_PUSHED_OVER,
                    null,
                    n,
                    "server %d got %.0f ms of work in %.1f s, %.0f %% from those told"
                            .formatted(n.server(), all, scenario.rules().collapseWindowMs() / 1000, 100 * told / all));
        }
    }

    // ---- findings -------------------------------------------------------------------------------------

    private void broken(Rule rule, Incarnation life, RecordedEvent n, String what) {
        counts.merge(rule, 1, Integer::sum);
        if (retainedViolations.size() < KEPT) {
            retainedViolations.add(new Violation(
                    rule,
                    n.atMs(),
                    n.request(),
                    what,
                    life == null
                            ? line(n)
                            : life.notes.stream().map(Auditor::line).collect(Collectors.joining("\n"))));
        }
    }

    private static String line(RecordedEvent n) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%12.3f  %-13s",
                n.atMs(),
                n.type().name().toLowerCase(Locale.ROOT).replace('_', ' ')));
        if (n.request() >= 0) {
            text.append(" request ").append(n.request());
        }
        if (n.sidecar() >= 0) {
            text.append(" sidecar ").append(n.sidecar());
        }
        if (n.server() >= 0) {
            text.append(" server ").append(n.server());
        }
        if (n.value() != 0) {
            text.append(String.format(Locale.ROOT, " (%.3f)", n.value()));
        }
        return text.toString();
    }
}
