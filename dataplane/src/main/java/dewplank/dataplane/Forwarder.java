package dewplank.dataplane;

import dewplank.configuration.RequestLimits;
import dewplank.configuration.Route;
import dewplank.configuration.Service;
import dewplank.configuration.WeightedService;
import dewplank.exchange.InboundConnection;
import dewplank.http.Headers;
import dewplank.net.EventLoop;
import dewplank.routing.FleetSizeEstimator;
import dewplank.routing.Policy;
import dewplank.routing.PrefillDecodePicker;
import dewplank.routing.RetryBudget;
import dewplank.routing.ServerPicker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/** Takes clients' requests, finds their routes, and has an exchange carry each of them. */
final class Forwarder implements InboundConnection.Service {
    private static final double HOLD_MS = 900; // from the start of a process to its first configuration, with room
    private static final double CONNECT_TIMEOUT_MS = 250;
    private static final int MOST_HELD = 512;
    private static final int MOST_OPEN = 4_096; // requests open at once, beyond which further ones are refused

    /** The limit on heads may be meant for the fields alone: the request line has room of its own. */
    private static final int FIRST_LINE_BYTES = 8 * 1024;
    /** Before there is a configuration: nothing is refused that it may allow. */
    private static final int UNKNOWN_HEAD_BYTES = 128 * 1024;

    private final EventLoop loop;
    private final FleetMetadata fleet;
    private final ServerPicker choice;
    private final PrefillDecodePicker pairs;
    private final RandomGenerator random;
    private final Counters counters;
    private final RetryLimits limits;
    private final double connectTimeoutMs;
    private final Map<String, RetryBudget> budgets = new HashMap<>();
    private final Map<InboundConnection, ProxiedRequest> open = new HashMap<>();
    private final Map<InboundConnection, Held> held = new LinkedHashMap<>();
    private final Set<InboundConnection> connections = new HashSet<>();
    private final FleetSizeEstimator size;
    private boolean closing;

    /** The fleet's budget of repeated sends to a service, of which this sidecar has a part. */
    record RetryLimits(double ratio, double windowMs, double slack) {}

    Forwarder(
            EventLoop loop,
            FleetMetadata fleet,
            ServerPicker choice,
            RandomGenerator random,
            Counters counters,
            RetryLimits limits) {
        this(loop, fleet, choice, random, counters, limits, CONNECT_TIMEOUT_MS);
    }

    /** The last: how long a connection to a server may take to come up. */
    Forwarder(
            EventLoop loop,
            FleetMetadata fleet,
            ServerPicker choice,
            RandomGenerator random,
            Counters counters,
            RetryLimits limits,
            double connectTimeoutMs) {
        this.loop = loop;
        this.fleet = fleet;
        this.choice = choice;
        this.pairs = new PrefillDecodePicker(choice);
        this.random = random;
        this.counters = counters;
        this.limits = limits;
        this.connectTimeoutMs = connectTimeoutMs;
        this.size = new FleetSizeEstimator(limits.windowMs());
    }

    /** A new connection of a client. */
    InboundConnection connection() {
        InboundConnection connection = new InboundConnection(loop, this);
        connections.add(connection);
        return connection;
    }

    @Override
    public void handle(InboundConnection.Request request, InboundConnection connection) {
        counters.add(Counters.Count.REQUESTS);
        if (!fleet.complete()) {
            hold(request, connection);
            return;
        }
        route(request, connection, connection.waitingSince());
    }

    /** A request that waits for what is needed to serve it; its client counts from its first byte. */
    private record Held(InboundConnection.Request request, double arrivedAt) {}

    /** Just started: what is needed is on its way, and comes within moments if at all. */
    private void hold(InboundConnection.Request request, InboundConnection connection) {
        counters.add(Counters.Count.NOT_READY);
        if (held.size() >= MOST_HELD) {
            refuse(connection, "0.5");
            return;
        }
        Held waiting = new Held(request, connection.waitingSince());
        held.put(connection, waiting);
        loop.after(HOLD_MS, () -> {
            if (held.remove(connection, waiting)) {
                refuse(connection, "0.5");
            }
        });
    }

    private void refuse(InboundConnection connection, String retryAfter) {
        counters.add(Counters.Count.REFUSED);
        connection.answer(503, List.of(new Headers.Field("Retry-After", retryAfter)), new byte[0]);
    }

    /** What is known of the fleet has changed: requests that were held go on once it is enough. */
    void fleetChanged() {
        size.recordMembership(loop.now(), fleet.dataPlanes());
        if (fleet.complete() && !held.isEmpty()) {
            Map<InboundConnection, Held> ready = new LinkedHashMap<>(held);
            held.clear();
            ready.forEach((connection, waiting) -> route(waiting.request(), connection, waiting.arrivedAt()));
        }
    }

    private void route(InboundConnection.Request request, InboundConnection connection, double arrivedAt) {
        String host = request.headers().get("Host");
        Route route = fleet.routes().find(host == null ? "" : host, request.target());
        if (route == null) {
            counters.add(Counters.Count.NO_ROUTE);
            connection.answer(404);
            return;
        }
        if (open.size() >= MOST_OPEN) {
            refuse(connection, "0.5");
            return;
        }
        begin(request, connection, route, arrivedAt);
    }

    private void begin(InboundConnection.Request request, InboundConnection connection, Route route, double arrivedAt) {
        String serviceName = draw(route.split());
        Service service = fleet.configuration().services().get(serviceName);
        ProxiedRequest exchange = service.engine() == null
                ? new UnaryRequest(this, request, connection, route, service, arrivedAt)
                : new GenerationRequest(this, request, connection, route, service, arrivedAt);
        open.put(connection, exchange);
        budget(serviceName).recordRequest(loop.now());
        exchange.start();
    }

    private String draw(List<WeightedService> split) {
        double total = split.stream().mapToDouble(WeightedService::weight).sum();
        double at = random.nextDouble() * total;
        for (WeightedService s : split) {
            at -= s.weight();
            if (at < 0) {
                return s.service();
            }
        }
        return split.get(split.size() - 1).service();
    }

    @Override
    public void callerGone(InboundConnection connection) {
        held.remove(connection);
        ProxiedRequest exchange = open.remove(connection);
        if (exchange != null) {
            counters.add(Counters.Count.LEFT);
            exchange.abandon();
        }
    }

    @Override
    public void connectionEnded(InboundConnection connection) {
        connections.remove(connection);
    }

    @Override
    public boolean isClosing() {
        return closing;
    }

    @Override
    public int maxBodyBytes() {
        return limits().maxBodyBytes();
    }

    @Override
    public int maxHeadBytes() {
        int fields = fleet.configuration() == null ? UNKNOWN_HEAD_BYTES : limits().maxHeaderBytes();
        return (int) Math.min(Integer.MAX_VALUE, (long) fields + FIRST_LINE_BYTES);
    }

    private RequestLimits limits() {
        return fleet.configuration() == null
                ? RequestLimits.DEFAULTS
                : fleet.configuration().limits();
    }

    /** The exchange has answered its request, whole. */
    void done(InboundConnection connection) {
        open.remove(connection);
    }

    /** The process ends: what is still open gets the answer that can be given by now. */
    void endAll() {
        Map<InboundConnection, Held> unserved = new LinkedHashMap<>(held);
        held.clear();
        unserved.keySet().forEach(connection -> refuse(connection, "0.5"));
        List.copyOf(open.values()).forEach(ProxiedRequest::endNow);
    }

    /** From here on each answer is the last on its connection. */
    void close() {
        closing = true;
    }

    int openRequests() {
        return open.size() + held.size();
    }

    int openConnections() {
        return connections.size();
    }

    List<InboundConnection> connections() {
        return new ArrayList<>(connections);
    }

    EventLoop loop() {
        return loop;
    }

    FleetMetadata fleet() {
        return fleet;
    }

    ServerPicker choice() {
        return choice;
    }

    /** Which mechanisms decide. */
    Policy policy() {
        return choice.policy();
    }

    PrefillDecodePicker pairs() {
        return pairs;
    }

    double connectTimeoutMs() {
        return connectTimeoutMs;
    }

    RandomGenerator random() {
        return random;
    }

    Counters counters() {
        return counters;
    }

    private RetryBudget budget(String service) {
        return budgets.computeIfAbsent(
                service, s -> new RetryBudget(limits.ratio(), limits.windowMs(), limits.slack()));
    }

    /** Counts a repeated send that has happened already. */
    void countRepeat(String service) {
        budget(service).recordRetry(loop.now());
    }

    /** Takes one repeated send to the service out of this sidecar's part of the budget. */
    boolean mayRepeat(String service) {
        double now = loop.now();
        boolean may =
                budget(service).tryAcquire(now, size.isSettled(now) ? size.dataPlanes(now) : RetryBudget.NO_SLACK);
        counters.add(may ? Counters.Count.RETRIES : Counters.Count.RETRIES_OVER_BUDGET);
        return may;
    }
}
