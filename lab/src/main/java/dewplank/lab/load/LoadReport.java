package dewplank.lab.load;

import com.google.gson.GsonBuilder;
import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import dewplank.lab.load.LoadRun.KindOutcome;
import dewplank.lab.load.LoadRun.Outcome;
import java.util.List;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/** A load run's figures as a table for a terminal and as JSON. */
public final class LoadReport {
    private static final List<Double> PERCENTILES = List.of(50.0, 75.0, 90.0, 95.0, 99.0, 99.9, 99.99, 100.0);

    private LoadReport() {}

    public static String table(Outcome o) {
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
        o.kinds().forEach(k -> row(text, k));
        if (o.kinds().size() > 1) {
            row(text, o.all());
        }
        return text.append(String.format(
                        Locale.ROOT,
                        "%.0f answered a second over %.1f s, %d connections opened, own lag p99 %.2f ms, "
                                + "own loops busy %.2f%n",
                        o.all().answered() / o.elapsedS(),
                        o.elapsedS(),
                        o.connectionsOpened(),
                        o.lag().getValueAtPercentile(99) / 1000.0,
                        o.busy()))
                .append(
                        o.sound()
                                ? ""
                                : "UNSOUND: the tool itself was late or had no time left; "
                                        + "give it more threads or less load\n")
                .toString();
    }

    private static void row(StringBuilder text, KindOutcome k) {
        text.append(String.format(
                Locale.ROOT,
                "%-14s %9d %9d %8d %7d %7d %8d %9.2f %9.2f %9.2f %9.2f%n",
                k.name,
                k.sent,
                k.ok,
                k.refused,
                k.otherStatus,
                k.broken,
                k.timedOut,
                ms(k.latency, 50),
                ms(k.latency, 99),
                ms(k.latency, 99.9),
                ms(k.latency, 100)));
    }

    static double ms(Histogram h, double percentile) {
        return h.getValueAtPercentile(percentile) / 1000.0;
    }

    public static String json(Outcome o) {
        JsonObject all = new JsonObject();
        all.addProperty("seconds", o.elapsedS());
        all.addProperty("answered_per_s", o.all().answered() / o.elapsedS());
        all.addProperty("connections_opened", o.connectionsOpened());
        all.addProperty("sound", o.sound());
        all.addProperty("own_loops_busy", o.busy());
        all.add("own_lag_ms", percentiles(o.lag()));
        JsonArray kinds = new JsonArray();
        for (KindOutcome k : o.kinds()) {
            JsonObject kind = new JsonObject();
            kind.addProperty("class", k.name);
            kind.addProperty("sent", k.sent);
            kind.addProperty("ok", k.ok);
            kind.addProperty("refused", k.refused);
            kind.addProperty("other_status", k.otherStatus);
            kind.addProperty("broken", k.broken);
            kind.addProperty("timed_out", k.timedOut);
            kind.add("latency_ms", percentiles(k.latency));
            kinds.add(kind);
        }
        all.add("classes", kinds);
        return new GsonBuilder().setPrettyPrinting().create().toJson(all) + "\n";
    }

    private static JsonObject percentiles(Histogram h) {
        JsonObject o = new JsonObject();
        for (double p : PERCENTILES) {
            o.addProperty(p == Math.rint(p) ? "p" + (int) p : "p" + p, ms(h, p));
        }
        o.addProperty("mean", h.getMean() / 1000);
        return o;
    }
}
