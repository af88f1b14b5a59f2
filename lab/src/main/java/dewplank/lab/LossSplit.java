package dewplank.lab;

import dewplank.emulator.Clients;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.Scenario;
import dewplank.emulator.Server;
import dewplank.emulator.World;
import java.util.Arrays;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

/**
 * Splits the worth that a run lost by what became of each request in the end. A refusal is held against the servers'
 * true state at its moment: one is needless if some server would have been done with the request in its aim. Sits
 * between the run and the usual recorder and tally, which get all that comes.
 */
public final class LossSplit implements RecordedEvent.Recorder, Clients.OutcomeListener {
    /** In the order of the table. */
    public enum Cause {
        /** Refused, no attempt made, though some server had room by the true state. */
        REFUSED_NEEDLESSLY,
        /** Refused, no attempt made, and no server would have been in time. */
        REFUSED_NO_ROOM,
        /** Refused after servers had turned it away, or after attempts in vain. */
        REFUSED_AFTER_ATTEMPTS,
        /** Served by the first try, past its aim. */
        LATE_FIRST,
        /** Served by a later try, past its aim. */
        LATE_RETRIED,
        /** Failed, and no attempt had come to a server. */
        FAILED_UNSENT,
        /** Failed after a server had it: an error, a break, a time-out. */
        FAILED_SENT,
        /** The client's time was up, or it lost its patience. */
        LEFT,
        /** Its sidecar was down. */
        UNREACHABLE
    }

    /** What is known of one open try. */
    private static final class OpenRequest {
        int received;
        boolean roomAtRefusal;
    }

    private final Scenario scenario;
    private final RecordedEvent.Recorder recorder;
    private final Clients.OutcomeListener tally;
    private final Map<Long, OpenRequest> open = new HashMap<>();
    private final Map<Cause, double[]> lost = new EnumMap<>(Cause.class); // by class, worth
    private World world;
    private RecordedEvent last;
    private OpenRequest lastOpen;
    private double asked;

    public LossSplit(Scenario scenario, RecordedEvent.Recorder recorder, Clients.OutcomeListener tally) {
        this.scenario = scenario;
        this.recorder = recorder;
        this.tally = tally;
    }

    /** Before the run begins. */
    public void watch(World truth) {
        world = truth;
    }

    @Override
    public void record(RecordedEvent n) {
        recorder.record(n);
        switch (n.type()) {
            case SENT -> open.put(n.request(), new OpenRequest());
            case RECEIVED -> {
                OpenRequest o = open.get(n.request());
                if (o != null) {
                    o.received++;
                }
            }
            case SERVED, REFUSED, FAILED, UNREACHABLE, ABANDONED -> {
                last = n;
                lastOpen = open.remove(n.request());
                if (n.type() == Type.REFUSED && lastOpen != null) {
                    lastOpen.roomAtRefusal = room(n);
                }
            }
            default -> {}
        }
    }

    /** Whether a first attempt begun now would likely have been in time, by the aim of its class. */
    private boolean room(RecordedEvent n) {
        Scenario.RequestKind kind = scenario.classes().get(n.requestClass());
        for (Server s : world.servers()) {
            if (s.expectedMs(kind.work(), 0) <= kind.targetLatencyMs()) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void requestEnded(int kind, int tenant, double askedAt, double tookMs, int tries, Type how) {
        tally.requestEnded(kind, tenant, askedAt, tookMs, tries, how);
        Scenario.RequestKind k = scenario.classes().get(kind);
        asked += k.value();
        if (!(tookMs <= k.targetLatencyMs())) {
            lost.computeIfAbsent(
                            cause(tries), c -> new double[scenario.classes().size()])[kind] += k.value();
        }
    }

    private Cause cause(int tries) {
        int received = lastOpen == null ? 0 : lastOpen.received;
        return switch (last.type()) {
            case SERVED -> tries > 1 ? Cause.LATE_RETRIED : Cause.LATE_FIRST;
            case REFUSED -> received > 0
                    ? Cause.REFUSED_AFTER_ATTEMPTS
                    : lastOpen != null && lastOpen.roomAtRefusal ? Cause.REFUSED_NEEDLESSLY : Cause.REFUSED_NO_ROOM;
            case FAILED -> received > 0 ? Cause.FAILED_SENT : Cause.FAILED_UNSENT;
            case UNREACHABLE -> Cause.UNREACHABLE;
            default -> Cause.LEFT;
        };
    }

    /** The worth lost by each cause, as a part of all worth asked for; causes that lost nothing are left out. */
    public Map<Cause, Double> parts() {
        Map<Cause, Double> parts = new LinkedHashMap<>();
        for (Cause c : Cause.values()) {
            if (lost.containsKey(c)) {
                parts.put(c, Arrays.stream(lost.get(c)).sum() / asked);
            }
        }
        return parts;
    }

    /** A table for a terminal: causes by classes, percent of all worth asked for. */
    public String table() {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%-24s %8s", "lost, % of worth", "all"));
        scenario.classNames().forEach(n -> text.append(String.format(Locale.ROOT, " %10s", n)));
        text.append('\n');
        parts().forEach((cause, part) -> {
            text.append(String.format(
                    Locale.ROOT,
                    "%-24s %8.2f",
                    cause.name().toLowerCase(Locale.ROOT).replace('_', ' '),
                    100 * part));
            for (double worth : lost.get(cause)) {
                text.append(String.format(Locale.ROOT, " %10.2f", 100 * worth / asked));
            }
            text.append('\n');
        });
        return text.toString();
    }
}
