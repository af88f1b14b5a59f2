package dewplank.lab;

import dewplank.emulator.Clients;
import dewplank.emulator.EmulatedEnvironment;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.scenario.RequestClassSpec;
import dewplank.emulator.scenario.Scenario;
import java.util.HashMap;
import java.util.Map;

/**
 * Splits the value that a run lost by the final outcome of each request. Each rejection is compared with the true state
 * of the servers at that time: it was needless if some server would have met the latency target.
 *
 * <p>Forwards all events and outcomes to the recorder and the outcome listener that it wraps. Called on the thread
 * that runs the emulated environment.
 */
public final class LossBreakdown implements RecordedEvent.Recorder, Clients.OutcomeListener {
    /** The causes of lost value, in the order of the table. */
    public enum Cause {
        /** Rejected without an attempt, although the true state of some server left enough capacity. */
        REFUSED_DESPITE_CAPACITY("refused needlessly"),
        /** Rejected without an attempt, when no server would have met the target. */
        REFUSED_WITHOUT_CAPACITY("refused no room"),
        /** Rejected after at least one attempt had reached a server, which rejected or failed it. */
        REFUSED_AFTER_ATTEMPTS("refused after attempts"),
        /** Served by the client's first attempt, after the target. */
        SLOW_FIRST_ATTEMPT("late first"),
        /** Served by a retry of the client, after the target. */
        SLOW_RETRY("late retried"),
        /** Failed, and no attempt had reached a server. */
        FAILED_UNSENT("failed unsent"),
        /** Failed after an attempt had reached a server: an error, a reset or a timeout. */
        FAILED_SENT("failed sent"),
        /** The client stopped waiting, at its deadline or earlier. */
        ABANDONED("left"),
        /** The connection to the sidecar failed. */
        UNREACHABLE("unreachable");

        private final String printedName;

        Cause(String printedName) {
            this.printedName = printedName;
        }

        /** The name in the table. Scripts parse it, so it must not change with the constant's name. */
        String printedName() {
            return printedName;
        }
    }

    /** A client's attempt that has not ended yet. */
    private static final class OpenAttempt {
        int receptions;
    }

    /** The end of the latest attempt that ended. */
    private record EndedAttempt(Type type, int receptions, boolean hadCapacity) {}

    private final Scenario scenario;
    private final RecordedEvent.Recorder recorder;
    private final Clients.OutcomeListener outcomeListener;
    private final LossTable table;
    private final Map<Long, OpenAttempt> open = new HashMap<>();
    private EmulatedEnvironment environment;
    private EndedAttempt lastEnded;

    /** Forwards events to {@code recorder} and outcomes to {@code outcomeListener}. */
    public LossBreakdown(Scenario scenario, RecordedEvent.Recorder recorder, Clients.OutcomeListener outcomeListener) {
        this.scenario = scenario;
        this.recorder = recorder;
        this.outcomeListener = outcomeListener;
        this.table = new LossTable(scenario);
    }

    /**
     * Sets the environment that provides the true state of the servers. Called once, before the run starts.
     */
    public void attach(EmulatedEnvironment emulatedEnvironment) {
        environment = emulatedEnvironment;
    }

    @Override
    public void record(RecordedEvent event) {
        recorder.record(event);
        switch (event.type()) {
            case SENT -> open.put(event.request(), new OpenAttempt());
            case RECEIVED -> received(event);
            case SERVED, REFUSED, FAILED, UNREACHABLE, ABANDONED -> ended(event);
            default -> {}
        }
    }

    private void received(RecordedEvent event) {
        OpenAttempt attempt = open.get(event.request());
        if (attempt != null) {
            attempt.receptions++;
        }
    }

    private void ended(RecordedEvent event) {
        OpenAttempt attempt = open.remove(event.request());
        int receptions = attempt == null ? 0 : attempt.receptions;
        boolean hadCapacity = event.type() == Type.REFUSED && attempt != null && hasCapacity(event.requestClass());
        lastEnded = new EndedAttempt(event.type(), receptions, hadCapacity);
    }

    /** Whether some server would be expected to meet the target of this class for a first attempt that starts now. */
    private boolean hasCapacity(int requestClass) {
        RequestClassSpec spec = scenario.classes().get(requestClass);
        return environment.servers().stream()
                .anyMatch(server -> server.expectedMs(spec.work(), 0) <= spec.targetLatencyMs());
    }

    /** Called immediately after the event that ended the request's last attempt. */
    @Override
    public void requestEnded(
            int requestClass, int tenant, double firstSentAtMs, double latencyMs, int attempts, Type lastType) {
        outcomeListener.requestEnded(requestClass, tenant, firstSentAtMs, latencyMs, attempts, lastType);
        RequestClassSpec spec = scenario.classes().get(requestClass);
        table.addRequested(spec.value());
        boolean isWithinTarget = latencyMs <= spec.targetLatencyMs(); // false for NaN, which means not served
        if (!isWithinTarget) {
            table.addLost(cause(lastEnded, attempts), requestClass, spec.value());
        }
    }

    private static Cause cause(EndedAttempt last, int attempts) {
        return switch (last.type()) {
            case SERVED -> attempts > 1 ? Cause.SLOW_RETRY : Cause.SLOW_FIRST_ATTEMPT;
            case REFUSED -> refusalCause(last);
            case FAILED -> last.receptions() > 0 ? Cause.FAILED_SENT : Cause.FAILED_UNSENT;
            case UNREACHABLE -> Cause.UNREACHABLE;
            default -> Cause.ABANDONED;
        };
    }

    private static Cause refusalCause(EndedAttempt last) {
        if (last.receptions() > 0) {
            return Cause.REFUSED_AFTER_ATTEMPTS;
        }
        return last.hadCapacity() ? Cause.REFUSED_DESPITE_CAPACITY : Cause.REFUSED_WITHOUT_CAPACITY;
    }

    /** The value lost by each cause as a fraction of all requested value; causes without a loss are omitted. */
    public Map<Cause, Double> lostFractions() {
        return table.lostFractions();
    }

    /** A table for a terminal: causes by class, in percent of all requested value. */
    public String table() {
        return table.text();
    }
}
