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
import dewplank.balancer.Balancer;
import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.HealthChecked;
import dewplank.balancer.Event.PeerSummaryReceived;
import dewplank.balancer.Event.RequestAbandoned;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.StreamStarted;
import dewplank.balancer.Event.TimerFired;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import dewplank.balancer.adaptive.AdaptiveBalancer;
import dewplank.settings.Fields;
import dewplank.settings.InvalidInputException;
import dewplank.sidecar.config.BalancerSettingsReader;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.Reader;
import java.io.Writer;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

/** The process loop and the codec: lines in, events to the instance they name, its actions out as lines. */
public final class Wire {
    private static final int HINT_VALID = 1;
    private static final int REPEAT = 2;
    private static final int SLOTS = 16;
    private static final Map<String, UpdateKind> FORMS = Map.of(
            "patch",
            UpdateKind.INCREMENTAL,
            "whole",
            UpdateKind.FULL,
            "stale_copy",
            UpdateKind.CACHED,
            "broken",
            UpdateKind.BROKEN);
    private static final Map<String, Availability> AVAILABILITIES =
            Map.of("up", Availability.UP, "draining", Availability.DRAINING, "removed", Availability.REMOVED);
    private static final Map<String, Outcome> OUTCOMES = Map.of(
            "success",
            Outcome.SERVED,
            "failure",
            Outcome.ERROR,
            "overloaded",
            Outcome.REJECTED,
            "timed_out",
            Outcome.TIMED_OUT,
            "unreachable",
            Outcome.CONNECT_FAILED,
            "broken",
            Outcome.RESET,
            "withdrawn",
            Outcome.CANCELLED,
            "void",
            Outcome.NEVER_SENT);

    private final BufferedReader in;
    private final Writer out;
    private final Map<Integer, Balancer> instances = new HashMap<>();
    private final List<List<Endpoint>> lists = new ArrayList<>();
    private long line;
    private boolean inBatch;
    private double clock = Double.NEGATIVE_INFINITY;
    private long batch;

    public Wire(Reader in, Writer out) {
        this.in = new BufferedReader(in, 1 << 16);
        this.out = out;
        for (int i = 0; i < SLOTS; i++) {
            lists.add(null);
        }
    }

    /** Runs to the end of input. Bad input is reported with its line's number. */
    public void run() throws IOException {
        try {
            for (String text = in.readLine(); text != null; text = in.readLine()) {
                line++;
                if (!text.isEmpty()) {
                    take(Message.of(text));
                }
            }
            if (inBatch) {
                throw new InvalidInputException("input ends inside a batch");
            }
        } catch (InvalidInputException e) {
            throw new InvalidInputException("line " + line + ": " + e.getMessage());
        }
    }

    private void take(Message m) throws IOException {
        if (inBatch == m.name().equals("TURN")) {
            throw new InvalidInputException(inBatch ? "TURN inside a batch" : m.name() + " outside a batch");
        }
        switch (m.name()) {
            case "TURN" -> {
                if (m.number(1) < clock) {
                    throw new InvalidInputException("TURN: the clock went back");
                }
                clock = m.number(1);
                batch = m.integer(2);
                inBatch = true;
            }
            case "END" -> {
                write("OK", batch);
                out.flush();
                inBatch = false;
            }
            case "SNAPSHOT_ROWS" -> lists.set(slot(m, 1), entries(m.array(2)));
            case "CREATE" -> instances.put(
                    m.small(1),
                    new AdaptiveBalancer(
                            BalancerSettingsReader.read(new Fields(m.object(3), "setting ")),
                            new SplittableRandom(m.integer(2))));
            case "KILLED" -> {
                if (instances.remove(m.small(1)) == null) {
                    throw new InvalidInputException("KILLED: no instance " + m.small(1));
                }
            }
            default -> deliver(m);
        }
    }

    private void deliver(Message m) throws IOException {
        Event event = event(m);
        int id = m.small(1);
        Balancer balancer = instances.get(id);
        if (balancer == null) {
            throw new InvalidInputException(m.name() + ": no instance " + id);
        }
        List<Action> actions = new ArrayList<>();
        try {
            balancer.handle(clock, event, actions::add);
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            write("BUG", id, e + (trace.length > 0 ? " at " + trace[0] : ""));
            return;
        }
        for (Action a : actions) {
            act(id, a);
        }
    }

    private Event event(Message m) {
        return switch (m.name()) {
            case "VIEW" -> {
                UpdateKind form = word(FORMS, m, 4);
                List<Endpoint> entries = form == UpdateKind.BROKEN ? List.of() : lists.get(slot(m, 2));
                if (entries == null) {
                    throw new InvalidInputException("VIEW: no list in slot " + m.small(2));
                }
                yield new EndpointUpdate(form, entries);
            }
            case "INBOUND" -> {
                int bits = m.small(5);
                boolean hint = (bits & HINT_VALID) != 0 && m.has(8);
                String tenant = m.has(3) && m.values().get(3) instanceof String ? m.text(3) : null;
                yield new RequestArrived(
                        m.integer(2),
                        tenant,
                        m.has(4) ? m.text(4) : null,
                        (bits & REPEAT) != 0,
                        m.text(6),
                        m.number(7),
                        hint ? (Double) m.number(8) : null);
            }
            case "ACK_FIRST" -> new StreamStarted(m.integer(2), m.small(5), m.number(4));
            case "FINISHED" -> new AttemptEnded(
                    m.integer(2),
                    m.small(3),
                    m.text(4),
                    word(OUTCOMES, m, 5),
                    m.number(6),
                    m.flag(7),
                    m.numbersOrNull(8));
            case "ABANDONED" -> new RequestAbandoned(m.integer(2));
            case "DEADLINE_HIT" -> new TimerFired(m.integer(2));
            case "PROBE_DONE" -> new HealthChecked(
                    m.text(3), word(OUTCOMES, m, 2) == Outcome.SERVED, m.number(4), m.numbersOrNull(5));
            case "NEIGHBOUR_SAYS" -> new PeerSummaryReceived(m.small(2), bytes(m, 3));
            default -> throw new InvalidInputException("unknown message " + m.name());
        };
    }

    private void act(int id, Action action) throws IOException {
        if (action instanceof Send a) {
            write("ISSUE", id, a.request(), a.server(), a.timeoutMs());
        } else if (action instanceof Cancel a) {
            write("STOP_ATTEMPT", id, a.request(), a.attempt());
        } else if (action instanceof Reject a) {
            write("SAY_NO", id, a.request(), a.retryAfterMs());
        } else if (action instanceof Fail a) {
            write("REPORT_FAILURE", id, a.request());
        } else if (action instanceof SetTimer a) {
            write("DEFER", id, a.timer(), a.delayMs());
        } else if (action instanceof Subscribe) {
            write("LISTEN", id, true);
        } else if (action instanceof CheckHealth a) {
            write("POLL", id, a.server());
        } else if (action instanceof CloseIdleConnections a) {
            write("FREE_LINKS", id, a.server());
        } else if (action instanceof BroadcastSummary a) {
            write("BROADCAST_TO", id, "*", Base64.getEncoder().encodeToString(a.bytes()));
        }
    }

    private void write(String name, Object... values) throws IOException {
        JsonWriter line = new JsonWriter(out); // one value each: a writer takes no second one
        line.setHtmlSafe(false);
        line.beginArray().value(name);
        for (Object v : values) {
            if (v instanceof String s) {
                line.value(s);
            } else if (v instanceof Boolean b) {
                line.value(b);
            } else if (v instanceof Double d) {
                line.value(Math.rint(d * 1000) / 1000); // the wire counts microseconds
            } else {
                line.value(((Number) v).longValue());
            }
        }
        line.endArray();
        out.write('\n');
    }

    private static int slot(Message m, int i) {
        int slot = m.small(i);
        if (slot >= SLOTS) {
            throw new InvalidInputException(m.name() + ": slot " + slot + " is out of range");
        }
        return slot;
    }

    private static <T> T word(Map<String, T> words, Message m, int i) {
        T meaning = words.get(m.text(i));
        if (meaning == null) {
            throw new InvalidInputException(m.name() + ": unknown word " + m.text(i));
        }
        return meaning;
    }

    private static byte[] bytes(Message m, int i) {
        try {
            return Base64.getDecoder().decode(m.text(i));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(m.name() + ": value " + i + " is not base64");
        }
    }

    private static List<Endpoint> entries(List<Object> rows) {
        Map<String, Endpoint> entries = new LinkedHashMap<>();
        for (Object row : rows) {
            if (!(row instanceof List<?> values)) {
                throw new InvalidInputException("SNAPSHOT_ROWS: an entry should be an array");
            }
            List<Object> named = new ArrayList<>(values);
            named.add(0, "SNAPSHOT_ROWS entry");
            Message e = new Message("SNAPSHOT_ROWS entry", named);
            Double startedAt = e.has(7) && e.number(7) > 0 ? (Double) e.number(7) : null;
            double rating = e.has(6) ? e.number(6) : 1;
            entries.put(
                    e.text(1),
                    new Endpoint(
                            e.text(1),
                            e.text(2),
                            e.has(3) ? e.text(3) : "",
                            e.has(4) ? e.integer(4) : 0,
                            word(AVAILABILITIES, e, 5),
                            rating,
                            startedAt));
        }
        return List.copyOf(entries.values());
    }
}
