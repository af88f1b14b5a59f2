package dewplank.simhost;

import com.google.gson.stream.JsonWriter;
import dewplank.balancer.Action;
import dewplank.balancer.Action.BroadcastSummary;
import dewplank.balancer.Action.Cancel;
import dewplank.balancer.Action.CheckHealth;
import dewplank.balancer.Action.CloseIdleConnections;
import dewplank.balancer.Action.Fail;
import dewplank.balancer.Action.Reject;
import dewplank.balancer.Action.Send;
import dewplank.balancer.Action.SetTimer;
import dewplank.balancer.Action.Subscribe;
import java.io.IOException;
import java.io.Writer;
import java.util.Base64;

/** Encodes the actions of balancers as lines of the simulator's protocol: JSON arrays that start with a name. */
final class ActionEncoder {
    private static final double UNITS_PER_MS = 1_000; // the protocol has a resolution of one microsecond

    private final Writer out;

    ActionEncoder(Writer out) {
        this.out = out;
    }

    void write(int instance, Action action) throws IOException {
        if (action instanceof Send send) {
            writeLine("ISSUE", instance, send.request(), send.server(), send.timeoutMs());
        } else if (action instanceof Cancel cancel) {
            writeLine("STOP_ATTEMPT", instance, cancel.request(), cancel.attempt());
        } else if (action instanceof Reject reject) {
            writeLine("SAY_NO", instance, reject.request(), reject.retryAfterMs());
        } else if (action instanceof Fail fail) {
            writeLine("REPORT_FAILURE", instance, fail.request());
        } else if (action instanceof SetTimer timer) {
            writeLine("DEFER", instance, timer.timer(), timer.delayMs());
        } else if (action instanceof Subscribe) {
            writeLine("LISTEN", instance, true);
        } else if (action instanceof CheckHealth check) {
            writeLine("POLL", instance, check.server());
        } else if (action instanceof CloseIdleConnections close) {
            writeLine("FREE_LINKS", instance, close.server());
        } else if (action instanceof BroadcastSummary summary) {
            writeLine("BROADCAST_TO", instance, "*", Base64.getEncoder().encodeToString(summary.bytes()));
        }
    }

    /** Acknowledges a batch and flushes all lines to the simulator. */
    void acknowledge(long batch) throws IOException {
        writeLine("OK", batch);
        out.flush();
    }

    void reportBug(int instance, RuntimeException bug) throws IOException {
        StackTraceElement[] trace = bug.getStackTrace();
        writeLine("BUG", instance, bug + (trace.length > 0 ? " at " + trace[0] : ""));
    }

    private void writeLine(String name, Object... values) throws IOException {
        JsonWriter line = new JsonWriter(out); // one per line: a JsonWriter accepts only one top-level value
        line.setHtmlSafe(false);
        line.beginArray().value(name);
        for (Object value : values) {
            if (value instanceof String text) {
                line.value(text);
            } else if (value instanceof Boolean flag) {
                line.value(flag);
            } else if (value instanceof Double number) {
                line.value(Math.rint(number * UNITS_PER_MS) / UNITS_PER_MS);
            } else {
                line.value(((Number) value).longValue());
            }
        }
        line.endArray();
        out.write('\n');
    }
}
