package dewplank.lab.load;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** Formats a load run's figures as a terminal table and as JSON. Scripts read both, so all names are fixed. */
public final class LoadReport {
    private static final List<Double> PERCENTILES = List.of(50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 99.99, 100.0);

    private LoadReport() {}

    /** A table for a terminal, with a warning if the run is invalid. */
    public static String table(LoadOutcome outcome) {
        StringBuilder text = new StringBuilder(String.format(
                Locale.ROOT,
                "%-14s %9s %9s %8s %7s %7s %8s %9s %9s %9s %9s%n",
                "class",
                "sent",
                "ok",
                "refused",
                "other",
                "broken",
                "timeout",
                "p50 ms",
                "p99 ms",
                "p99.9 ms",
                "max ms"));
        outcome.classes().forEach(requestClass -> row(text, requestClass));
        if (outcome.classes().size() > 1) {
            row(text, outcome.all());
        }
        return text.append(String.format(
                        Locale.ROOT,
                        "%.0f answered a second over %.1f s, %d connections opened, own lag p99 %.2f ms, "
                                + "own loops busy %.2f%n",
                        outcome.all().responses() / outcome.elapsedS(),
                        outcome.elapsedS(),
                        outcome.connectionsOpened(),
                        outcome.lagUs().getValueAtPercentile(99) / 1000.0,
                        outcome.busyFraction()))
                .append(
                        outcome.isValid()
                                ? ""
                                : "UNSOUND: the tool itself was late or had no time left; "
                                        + "give it more threads or less load\n")
                .toString();
    }

    private static void row(StringBuilder text, ClassOutcome requestClass) {
        text.append(String.format(
                Locale.ROOT,
                "%-14s %9d %9d %8d %7d %7d %8d %9.2f %9.2f %9.2f %9.2f%n",
                requestClass.name(),
                requestClass.sent(),
                requestClass.ok(),
                requestClass.refused(),
                requestClass.otherStatus(),
                requestClass.connectionFailures(),
                requestClass.timedOut(),
                percentileMs(requestClass.latencyUs(), 50),
                percentileMs(requestClass.latencyUs(), 99),
                percentileMs(requestClass.latencyUs(), 99.9),
                percentileMs(requestClass.latencyUs(), 100)));
    }

    /** A percentile in milliseconds, of values in microseconds. */
    static double percentileMs(Histogram valuesUs, double percentile) {
        return valuesUs.getValueAtPercentile(percentile) / 1000.0;
    }

    /** A pretty-printed JSON object. Times are in milliseconds unless the name has another unit. */
    public static String json(LoadOutcome outcome) {
        JsonObject all = new JsonObject();
        all.addProperty("seconds", outcome.elapsedS());
        all.addProperty("answered_per_s", outcome.all().responses() / outcome.elapsedS());
        all.addProperty("connections_opened", outcome.connectionsOpened());
        all.addProperty("sound", outcome.isValid());
        all.addProperty("own_loops_busy", outcome.busyFraction());
        all.add("own_lag_ms", percentiles(outcome.lagUs()));
        JsonArray classes = new JsonArray();
        for (ClassOutcome requestClass : outcome.classes()) {
            JsonObject entry = new JsonObject();
            entry.addProperty("class", requestClass.name());
            entry.addProperty("sent", requestClass.sent());
            entry.addProperty("ok", requestClass.ok());
            entry.addProperty("refused", requestClass.refused());
            entry.addProperty("other_status", requestClass.otherStatus());
            entry.addProperty("broken", requestClass.connectionFailures());
            entry.addProperty("timed_out", requestClass.timedOut());
            entry.add("latency_ms", percentiles(requestClass.latencyUs()));
            classes.add(entry);
        }
        all.add("classes", classes);
        return new GsonBuilder().setPrettyPrinting().create().toJson(all) + "\n";
    }

    private static JsonObject percentiles(Histogram valuesUs) {
        JsonObject json = new JsonObject();
        for (double p : PERCENTILES) {
            json.addProperty(p == Math.rint(p) ? "p" + (int) p : "p" + p, percentileMs(valuesUs, p));
        }
        json.addProperty("mean", valuesUs.getMean() / 1000);
        return json;
    }
}
