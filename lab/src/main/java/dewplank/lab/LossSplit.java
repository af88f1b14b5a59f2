package dewplank.lab;

import dewplank.emulator.Clients;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.Server;
import dewplank.emulator.World;
import dewplank.emulator.scenario.RequestClassSpec;
import dewplank.emulator.scenario.Scenario;
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
        REFUSED_DESPITE_CAPACITY("refused needlessly"),
        /** Refused, no attempt made, and no server would have been in time. */
        REFUSED_WITHOUT_CAPACITY("refused no room"),
        /** Refused after servers had turned it away, or after attempts in vain. */
        REFUSED_AFTER_ATTEMPTS("refused after attempts"),
        /** Served by the first try, past its aim. */
        SLOW_FIRST_ATTEMPT("late first"),
        /** Served by a later try, past its aim. */
        SLOW_RETRY("late retried"),
        /** Failed, and no attempt had come to a server. */
        FAILED_UNSENT("failed unsent"),
        /** Failed after a server had it: an error, a break, a time-out. */
        FAILED_SENT("failed sent"),
        /** The client's time was up, or it lost its patience. */
        ABANDONED("left"),
        /** Its sidecar was down. */
        UNREACHABLE("unreachable");

        private final String printedName;

        Cause(String printedName) {
            this.printedName = printedName;
        }
    }

    /** What is known of one open try. */
    private static final class OpenRequest {
        int received;
        boolean hadCapacityAtRefusal;
    }

    private final Scenario scenario;
    private final RecordedEvent.Recorder recorder;
    private final Clients.OutcomeListener outcomeListener;
    private final Map<Long, OpenRequest> open = new HashMap<>();
    private final Map<Cause, double[]> lostValueByClass = new EnumMap<>(Cause.class); // by class, worth
    private World world;
    private RecordedEvent lastEvent;
    private OpenRequest lastRequest;
    private double requestedValue;

    public LossSplit(Scenario scenario, RecordedEvent.Recorder recorder, Clients.OutcomeListener outcomeListener) {
        this.scenario = scenario;
        this.recorder = recorder;
        this.outcomeListener = outcomeListener;
    }

    /** Before the run begins. */
    public void attach(World truth) {
        world = truth;
    }

    @Override
    public void record(RecordedEvent event) {
        recorder.record(event);
        switch (event.type()) {
            case SENT -> open.put(event.request(), new OpenRequest());
            case RECEIVED -> {
                OpenRequest request = open.get(event.request());
                if (request != null) {
                    request.received++;
                }
            }
            case SERVED, REFUSED, FAILED, UNREACHABLE, ABANDONED -> {
                lastEvent = event;
                lastRequest = open.remove(event.request());
                if (event.type() == Type.REFUSED && lastRequest != null) {
                    lastRequest.hadCapacityAtRefusal = hadCapacity(event);
                }
            }
            default -> {}
        }
    }

    /** Whether a first attempt begun now would likely have been in time, by the aim of its class. */
    private boolean hadCapacity(RecordedEvent event) {
        RequestClassSpec kind = scenario.classes().get(event.requestClass());
        for (Server s : world.servers()) {
            if (s.expectedMs(kind.work(), 0) <= kind.targetLatencyMs()) {
                return true;
            }
        }
        return false;
    }

    @Override
    public void requestEnded(
            int requestClass, int tenant, double firstSentAtMs, double tookMs, int attempts, Type lastType) {
        outcomeListener.requestEnded(requestClass, tenant, firstSentAtMs, tookMs, attempts, lastType);
        RequestClassSpec kind = scenario.classes().get(requestClass);
        requestedValue += kind.value();
        if (!(tookMs <= kind.targetLatencyMs())) {
            lostValueByClass
                            .computeIfAbsent(
                                    cause(attempts),
                                    c -> new double[scenario.classes().size()])[requestClass] +=
                    kind.value();
        }
    }

    private Cause cause(int attempts) {
        int received = lastRequest == null ? 0 : lastRequest.received;
        return switch (lastEvent.type()) {
            case SERVED -> attempts > 1 ? Cause.SLOW_RETRY : Cause.SLOW_FIRST_ATTEMPT;
            case REFUSED -> received > 0
                    ? Cause.REFUSED_AFTER_ATTEMPTS
                    : lastRequest != null && lastRequest.hadCapacityAtRefusal
                            ? Cause.REFUSED_DESPITE_CAPACITY
                            : Cause.REFUSED_WITHOUT_CAPACITY;
            case FAILED -> received > 0 ? Cause.FAILED_SENT : Cause.FAILED_UNSENT;
            case UNREACHABLE -> Cause.UNREACHABLE;
            default -> Cause.ABANDONED;
        };
    }

    /** The worth lost by each cause, as a part of all worth asked for; causes that lost nothing are left out. */
    public Map<Cause, Double> lostFractions() {
        Map<Cause, Double> lostFractions = new LinkedHashMap<>();
        for (Cause cause : Cause.values()) {
            if (lostValueByClass.containsKey(cause)) {
                lostFractions.put(
                        cause, Arrays.stream(lostValueByClass.get(cause)).sum() / requestedValue);
            }
        }
        return lostFractions;
    }

    /** A table for a terminal: causes by classes, percent of all worth asked for. */
    public String table() {
        StringBuilder text = new StringBuilder(String.format(Locale.ROOT, "%-24s %8s", "lost, % of worth", "all"));
        scenario.classNames().forEach(n -> text.append(String.format(Locale.ROOT, " %10s", n)));
        text.append('\n');
        lostFractions().forEach((cause, fraction) -> {
            text.append(String.format(Locale.ROOT, "%-24s %8.2f", cause.printedName, 100 * fraction));
            for (double value : lostValueByClass.get(cause)) {
                text.append(String.format(Locale.ROOT, " %10.2f", 100 * value / requestedValue));
            }
            text.append('\n');
        });
        return text.toString();
    }
}
