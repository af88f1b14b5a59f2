package dewplank.simulation;

import dewplank.controlplane.ControlProcess;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Operators: up to eight changes under way at once, each sent again with the same bytes to any control sidecar until it
 * has a clear answer, with a second of silence and a growing pause between; readings in between.
 */
final class Operators {
    static final String IP = "10.250.0.1";
    static final int MAX_AT_ONCE = 8;
    private static final double CALL_TIMEOUT_MS = 1_000;
    private static final double MIN_BACKOFF_MS = 30;
    private static final double MAX_BACKOFF_MS = 400;
    private static final int MAX_REDIRECTS = 2;
    private static final Pattern MARKER = Pattern.compile("\"m-(\\d+)\"");
    private static final Pattern VERSION = Pattern.compile("\"config_version\":\\s*(\\d+)");

    private final SimulatedFleet fleet;
    private final SplittableRandom random;
    private final TreeMap<Long, Set<Integer>> markersByVersion = new TreeMap<>();
    private final List<OperatorChange> open = new ArrayList<>();
    private final List<ControlMachine> everListed = new ArrayList<>();
    private int lastId;
    private int lostAnswerOneIn = 20; // one answer in so many
    private int reads;

    Operators(SimulatedFleet fleet, SplittableRandom random) {
        this.fleet = fleet;
        this.random = random;
        markersByVersion.put(0L, Set.of());
    }

    /** From now on no answer is lost on its way. */
    void loseNoAnswers() {
        lostAnswerOneIn = 0;
    }

    /** Sends changes and readings until that time. */
    void begin(double until, double meanPauseMs) {
        fleet.time().after(random.nextDouble() * 2 * meanPauseMs, () -> {
            if (fleet.time().now() < until) {
                if (random.nextInt(4) == 0) {
                    read(anyControl(), answer -> {});
                } else {
                    change();
                }
                begin(until, meanPauseMs);
            }
        });
    }

    private void change() {
        int atOnce = random.nextInt(5) == 0 ? 2 : 1; // two operators on one base, mostly under one number
        long base = random.nextInt(15) == 0 ? any(markersByVersion.keySet()) : markersByVersion.lastKey();
        long version = base + 1 + random.nextInt(3);
        for (int index = 0; index < atOnce && open.size() < MAX_AT_ONCE; index++) {
            send(order(base, random.nextInt(4) == 0 ? version + index : version), then -> {});
        }
    }

    private long any(Set<Long> from) {
        int skipped = random.nextInt(from.size());
        return from.stream().skip(skipped).findFirst().orElse(0L);
    }

    private OperatorChange order(long base, long version) {
        double now = fleet.time().now();
        lastId++;
        if (base == 0 || random.nextInt(4) == 0) {
            return OperatorChange.complete(lastId, base, version, markersByVersion.get(base), now);
        }
        return OperatorChange.patch(lastId, base, version, random.nextInt(12) != 0, now);
    }

    /** A valid change on top of the newest version that is known here. */
    OperatorChange next() {
        long base = markersByVersion.lastKey();
        if (base == 0) {
            lastId++;
            return OperatorChange.complete(
                    lastId,
                    base,
                    base + 1,
                    markersByVersion.get(base),
                    fleet.time().now());
        }
        return nextPatch();
    }

    /** A patch, which is small whatever is in place. */
    OperatorChange nextPatch() {
        lastId++;
        return OperatorChange.patch(
                lastId,
                markersByVersion.lastKey(),
                markersByVersion.lastKey() + 1,
                true,
                fleet.time().now());
    }

    /** A patch of a route that is there already: many of them leave the configuration as small as it is. */
    OperatorChange nextSmall() {
        return OperatorChange.patch(
                1,
                markersByVersion.lastKey(),
                markersByVersion.lastKey() + 1,
                true,
                fleet.time().now());
    }

    /** Sends a change until it has a clear answer. */
    void send(OperatorChange order, Consumer<OperatorChange> then) {
        open.add(order);
        attempt(order, then);
    }

    List<OperatorChange> open() {
        return open;
    }

    int reads() {
        return reads;
    }

    private void attempt(OperatorChange order, Consumer<OperatorChange> then) {
        order.sent++;
        ControlMachine to = anyControl();
        call(to, order.patch ? "PATCH" : "PUT", order, MAX_REDIRECTS, answer -> {
            if (answer == null || !answered(order, answer.status())) {
                double pause = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * (1 << Math.min(order.sent, 10)));
                fleet.time().after(pause * (0.5 + random.nextDouble()), () -> attempt(order, then));
            } else {
                open.remove(order);
                order.endedAt = fleet.time().now();
                then.accept(order);
            }
        });
    }

    /** One try of a change at one machine; null where nothing came back. */
    void call(ControlMachine to, OperatorChange order, Consumer<ControlProcess.Answer> then) {
        call(to, order.patch ? "PATCH" : "PUT", order, 0, then);
    }

    /** Takes an answer to a change; whether it was a clear one. */
    boolean answered(OperatorChange order, int status) {
        if (status == 200) {
            order.state = OperatorChange.State.CONFIRMED;
            fleet.invariants().confirmed(order);
            Set<Integer> base = markersByVersion.get(order.base);
            if (order.markers != null || base != null) {
                Set<Integer> markers = new TreeSet<>(order.markers != null ? order.markers : base);
                markers.add(order.id);
                markersByVersion.put(order.version, markers);
            }
            return true;
        }
        if (status == 400 || status == 409 || status == 412 || status == 413 || status == 422) {
            order.state = OperatorChange.State.REJECTED;
            fleet.invariants().rejected(order, status);
            return true;
        }
        return false;
    }

    /** Reads the configuration from a machine; null where no clear answer came. */
    void read(ControlMachine from, Consumer<Long> then) {
        long floor = fleet.invariants().floor();
        call(from, "GET", null, MAX_REDIRECTS, answer -> {
            if (answer != null && answer.status() == 200) {
                then.accept(taken(answer.body(), floor));
            } else {
                if (answer != null && answer.status() == 404) {
                    fleet.invariants()
                            .check(floor == 0, "no configuration is known at " + from.name() + " after " + floor);
                }
                then.accept(null);
            }
        });
    }

    private long taken(byte[] body, long floor) {
        String text = new String(body, StandardCharsets.UTF_8);
        Matcher version = VERSION.matcher(text);
        fleet.invariants().check(version.find(), "a configuration without a version");
        Set<Integer> markers = new TreeSet<>();
        Matcher marker = MARKER.matcher(text);
        while (marker.find()) {
            markers.add(Integer.parseInt(marker.group(1)));
        }
        long read = Long.parseLong(version.group(1));
        fleet.invariants().read(read, markers, floor);
        markersByVersion.put(read, markers);
        reads++;
        return read;
    }

    /** From a list that lags: machines that have been taken away stand there too. */
    private ControlMachine anyControl() {
        for (ControlMachine control : fleet.core()) {
            if (!everListed.contains(control)) {
                everListed.add(control);
            }
        }
        List<ControlMachine> from = random.nextInt(10) == 0 ? everListed : fleet.core();
        return from.get(random.nextInt(from.size()));
    }

    private void call(
            ControlMachine to,
            String method,
            OperatorChange order,
            int redirects,
            Consumer<ControlProcess.Answer> then) {
        Call call = new Call(then);
        fleet.time().after(CALL_TIMEOUT_MS, () -> call.ends(null));
        fleet.time().after(fleet.network().delay(), () -> arrive(to, method, order, redirects, call));
    }

    private void arrive(ControlMachine to, String method, OperatorChange order, int redirects, Call call) {
        if (!to.hasPower() || !fleet.network().reaches(IP, to.ip())) {
            return;
        }
        if (to.process() == null || !to.process().takesCalls()) {
            fleet.time().after(fleet.network().delay(), () -> call.ends(null));
            return;
        }
        boolean handlesAbandonedCall = random.nextBoolean();
        ProcessIncarnation incarnation = to.incarnation();
        incarnation.run(() -> {
            if (call.over && !handlesAbandonedCall) {
                return; // it has read of the caller's leaving, too
            }
            to.process()
                    .call(
                            method,
                            "/configuration",
                            order == null ? null : Long.toString(order.base),
                            order == null ? new byte[0] : order.body,
                            answer -> back(to, method, order, redirects, call, answer));
        });
    }

    private void back(
            ControlMachine from,
            String method,
            OperatorChange order,
            int redirects,
            Call call,
            ControlProcess.Answer answer) {
        fleet.time().after(fleet.network().delay(), () -> {
            if (call.over
                    || !fleet.network().reaches(from.ip(), IP)
                    || lostAnswerOneIn > 0 && random.nextInt(lostAnswerOneIn) == 0) {
                return;
            }
            ControlMachine next = answer.status() == 307 && redirects > 0 ? machine(answer.location()) : null;
            if (next != null) {
                call.over = true;
                call(next, method, order, redirects - 1, call.then);
            } else {
                call.ends(answer);
            }
        });
    }

    private ControlMachine machine(String location) {
        String host = location.replaceFirst("^http://", "").replaceFirst("[:/].*", "");
        try {
            InetAddress address = InetAddress.getByName(host);
            Machine found = fleet.network().at(new InetSocketAddress(address, Machine.CONTROL_PORT));
            return found instanceof ControlMachine control ? control : null;
        } catch (UnknownHostException e) {
            throw new AssertionError("not an address: " + location, e);
        }
    }

    private static final class Call {
        private final Consumer<ControlProcess.Answer> then;
        private boolean over;

        Call(Consumer<ControlProcess.Answer> then) {
            this.then = then;
        }

        void ends(ControlProcess.Answer answer) {
            if (!over) {
                over = true;
                then.accept(answer);
            }
        }
    }
}
