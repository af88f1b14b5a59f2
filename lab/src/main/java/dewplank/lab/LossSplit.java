package dewplank.lab;

import dewplank.emulator.Clients;
import dewplank.emulator.RecordedEvent;
import dewplank.emulator.RecordedEvent.Type;
import dewplank.emulator.World;
import dewplank.emulator.scenario.RequestClassSpec;
import dewplank.emulator.scenario.Scenario;
import java.util.HashMap;
import java.util.Map;

/**
 * Splits the value that a run lost by what became of each request in the end. A refusal is compared with the servers'
 * true state at its moment: it lost value needlessly if some server would have met the latency target.
 *
 * <p>Sits between the run and its recorder and outcome listener, which get all that comes. On the thread that runs the
 * world.
 */
public final class LossSplit implements RecordedEvent.Recorder, Clients.OutcomeListener {
    /** Why value was lost, in the order of the table. */
    public enum Cause {
        /** Refused without an attempt, though some server had capacity by its true state. */
        REFUSED_DESPITE_CAPACITY("refused needlessly"),
        /** Refused without an attempt, and no server would have met the target. */
        REFUSED_WITHOUT_CAPACITY("refused no room"),
        /** Refused after servers had rejected it, or after other attempts in vain. */
        REFUSED_AFTER_ATTEMPTS("refused after attempts"),
        /** Served by the client's first attempt, past its target. */
        SLOW_FIRST_ATTEMPT("late first"),
        /** Served by a retry of the client, past its target. */
        SLOW_RETRY("late retried"),
        /** Failed, and no attempt had come to a server. */
        FAILED_UNSENT("failed unsent"),
        /** Failed after a server had it: an error, a reset, a time-out. */
        FAILED_SENT("failed sent"),
        /** The client stopped waiting, at its deadline or before. */
        ABANDONED("left"),
        /** Its sidecar was down. */
        UNREACHABLE("unreachable");

        private final String printedName;

        Cause(String printedName) {
            this.printedName = printedName;
        }

        /** The name in the table, which scripts read: it stays when the constant is renamed. */
        String printedName() {
            return printedName;
        }
    }

    /** A client's attempt that is not over. */
    private static final class OpenAttempt {
        int receptions;
    }

    /** How the attempt that ended last did. */
    private record EndedAttempt(Type type, int receptions, boolean hadCapacity) {}

    private final Scenario scenario;
    private final RecordedEvent.Recorder recorder;
    private final Clients.OutcomeListener outcomeListener;
    private final LossTable table;
    private final Map<Long, OpenAttempt> open = new HashMap<>();
    private World world;
    private EndedAttempt lastEnded;

    /** What it gets goes on to {@code recorder} and {@code outcomeListener}. */
    public LossSplit(Scenario scenario, RecordedEvent.Recorder recorder, Clients.OutcomeListener outcomeListener) {
        this.scenario = scenario;
        this.recorder = recorder;
        this.outcomeListener = outcomeListener;
        this.table = new LossTable(scenario);
    }

    /** Gives it the servers whose true state it compares refusals with. Called once, before the run begins. */
    public void attach(World truth) {
        world = truth;
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

    /** Whether a first attempt begun now would likely meet its class's target at some server. */
    private boolean hasCapacity(int requestClass) {
        RequestClassSpec kind = scenario.classes().get(requestClass);
        return world.servers().stream().anyMatch(server -> server.expectedMs(kind.work(), 0) <= kind.targetLatencyMs());
    }

    /** Called right after the event that ended the request's last attempt was recorded. */
    @Override
    public void requestEnded(
            int requestClass, int tenant, double firstSentAtMs, double tookMs, int attempts, Type lastType) {
        outcomeListener.requestEnded(requestClass, tenant, firstSentAtMs, tookMs, attempts, lastType);
        RequestClassSpec kind = scenario.classes().get(requestClass);
        table.addRequested(kind.value());
        boolean isWithinTarget = tookMs <= kind.targetLatencyMs(); // not for NaN: not served
        if (!isWithinTarget) {
            table.addLost(cause(lastEnded, attempts), requestClass, kind.value());
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

    /** The value lost by each cause, as a part of all value requested; causes that lost nothing are left out. */
    public Map<Cause, Double> lostFractions() {
        return table.lostFractions();
    }

    /** A table for a terminal: causes by classes, percent of all value requested. */
    public String table() {
        return table.text();
    }
}
