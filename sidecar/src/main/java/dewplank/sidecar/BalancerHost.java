package dewplank.sidecar;

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
import dewplank.balancer.Event;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.HealthChecked;
import dewplank.balancer.Event.PeerSummaryReceived;
import dewplank.balancer.Event.RequestAbandoned;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.TimerFired;
import dewplank.balancer.Outcome;
import dewplank.balancer.Settings;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.Settings.Tenant;
import dewplank.balancer.health.PeerSummary;
import dewplank.discovery.CatalogUpdate;
import dewplank.discovery.DiscoveryClient;
import dewplank.exchange.ConnectionPool;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;
import dewplank.peers.PeerChannel;
import dewplank.sidecar.config.SidecarConfig;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The module's host on sockets: what happens there goes in as events, and the actions that come out are carried
 * out. It never picks a server, tries again or refuses by itself.
 */
public final class BalancerHost {
    static final String EXPIRES_IN_HEADER = "X-Expires-In-Ms";
    private static final System.Logger LOG = System.getLogger(BalancerHost.class.getName());
    /** What of a client's time is kept back: for the tick's rounding, and the answer's way to the client. */
    private static final double ANSWER_MARGIN_MS = 10;

    private static final double LAST_RESORT_MS = 10;
    private static final double PROBE_TIMEOUT_MS = 250;
    private static final double SWEEP_MS = 1_000;
    private static final double BOUND_LOG_MS = 1_000;
    private static final double IDLE_SHARE = 0.9; // of the server's limit: a request must not cross its close
    private static final int SPARE = 40; // descriptors for the JVM's own, the listener and the watch

    private final EventLoop loop;
    private final Settings settings;
    private final Balancer balancer;
    private final DiscoveryClient discovery;
    private final CatalogUpdate initialCatalog;
    private final Map<String, Idempotency> idempotencyByClass;
    private final Set<String> tenants;
    private final PeerChannel peers; // null where the settings allow none
    private final Map<Long, PendingRequest> requests = new HashMap<>();
    private final Set<String> idsInUse = new HashSet<>();
    private final Map<String, ConnectionPool> pools = new HashMap<>();
    private final int maxServerConnections;
    private final Deque<Event> events = new ArrayDeque<>();
    private boolean delivering;
    private long nextRequest = 1;
    private int attemptsInFlight;
    private double boundLogged;
    private double handledAt;
    private double completeAllBy = Double.POSITIVE_INFINITY;

    BalancerHost(EventLoop loop, SidecarConfig config, Balancer balancer) {
        this.loop = loop;
        this.settings = config.settings();
        this.balancer = balancer;
        this.discovery = new DiscoveryClient(
                loop,
                config.discovery(),
                settings.safety().onlyDrainingIsBinding(),
                settings.endpointListIsPushed(),
                this::endpointsChanged);
        this.initialCatalog = CatalogUpdate.of(config.initialCatalog());
        this.idempotencyByClass =
                settings.classes().stream().collect(Collectors.toMap(RequestClass::name, RequestClass::idempotency));
        this.tenants = settings.tenants().stream().map(Tenant::name).collect(Collectors.toSet());
        this.peers = config.peers() == null
                ? null
                : new PeerChannel(
                        loop,
                        config.peers(),
                        settings.replicaIndex(),
                        bytes -> PeerSummary.decode(bytes) != null,
                        (peer, bytes) -> deliver(new PeerSummaryReceived(peer, bytes)));
        this.maxServerConnections = maxServerConnections(config);
    }

    static int maxServerConnections(SidecarConfig config) {
        return config.maxSockets() - maxClientConnections(config) - SPARE;
    }

    /** Of the descriptors, clients may hold half; the rest is for servers. */
    static int maxClientConnections(SidecarConfig config) {
        return config.maxSockets() / 2;
    }

    public void start() {
        if (peers != null) {
            peers.start();
        }
        discovery.start(initialCatalog);
        loop.after(SWEEP_MS, this::sweep);
    }

    /** Whether there is a server to send to. */
    boolean hasAvailableServer() {
        return discovery.hasAvailableServer();
    }

    /** What a repeat of such a request does, or null where the settings have no such class. */
    Idempotency idempotencyOf(String requestClass) {
        return idempotencyByClass.get(requestClass);
    }

    /** Whether a client's request with this id has no final answer yet. */
    boolean isIdInUse(String id) {
        return idsInUse.contains(id);
    }

    /** The longest that any request may still be open, by the settings. */
    double maxDeadlineMs() {
        return settings.classes().stream()
                .mapToDouble(RequestClass::deadlineMs)
                .max()
                .orElse(0);
    }

    /** The shortest time within which a class wants its answers. */
    double minLatencyTargetMs() {
        return settings.classes().stream()
                .mapToDouble(RequestClass::latencyTargetMs)
                .min()
                .orElse(0);
    }

    /** All is answered by then: new requests have no longer than that, and what is still open is failed. */
    void completeAllBy(double time) {
        completeAllBy = time;
        loop.after(time - loop.now(), () -> {
            for (PendingRequest request : new ArrayList<>(requests.values())) {
                if (!request.isComplete) {
                    abandon(request);
                    request.responses.respondFailed();
                }
            }
        });
    }

    void moveDiscoveryTo(InetSocketAddress to) {
        discovery.moveTo(to);
    }

    int openRequestCount() {
        return (int) requests.values().stream().filter(i -> !i.isComplete).count();
    }

    boolean hasReleasedEverything() {
        return requests.isEmpty() && idsInUse.isEmpty() && attemptsInFlight == 0;
    }

    void close() {
        discovery.close();
        closePeerChannel();
    }

    /** May be called from any thread. */
    void closePeerChannel() {
        if (peers != null) {
            peers.close();
        }
    }

    PeerChannel peers() {
        return peers;
    }

    /** The tenants that the settings name. */
    Set<String> tenants() {
        return tenants;
    }

    /** What is kept for a server goes with it: over a day servers come and go with ever new ids. */
    private void endpointsChanged(EndpointUpdate news) {
        deliver(news);
        pools.entrySet().removeIf(e -> {
            boolean gone = discovery.addressOf(e.getKey()) == null;
            if (gone) {
                e.getValue().close();
            }
            return gone;
        });
    }

    int poolCount() {
        return pools.size();
    }

    // ---- events in ------------------------------------------------------------------------------------

    /**
     * Events wait in line while one is handled: an action's effect, such as a connection refused at once, may
     * come back before the module has finished with the event that led to it.
     */
    private void deliver(Event event) {
        events.addLast(event);
        if (delivering) {
            return;
        }
        delivering = true;
        try {
            while (!events.isEmpty()) {
                handle(events.removeFirst());
            }
        } finally {
            delivering = false;
        }
    }

    private void handle(Event event) {
        List<Action> actions = new ArrayList<>();
        try {
            handledAt = loop.now();
            balancer.handle(handledAt, event, actions::add);
        } catch (RuntimeException e) {
            LOG.log(
                    System.Logger.Level.ERROR,
                    "the module failed on " + event.getClass().getSimpleName(),
                    e);
            failRequestOf(event);
        }
        for (Action action : actions) {
            try {
                execute(action);
            } catch (RuntimeException e) {
                LOG.log(
                        System.Logger.Level.ERROR,
                        "an action failed: " + action.getClass().getSimpleName(),
                        e);
            }
        }
    }

    private void failRequestOf(Event event) {
        long id = event instanceof RequestArrived a ? a.request() : event instanceof AttemptEnded e ? e.request() : 0;
        PendingRequest request = requests.get(id);
        if (request != null && !request.isComplete) {
            abandon(request);
            request.responses.respondFailed();
        }
    }

    /** Takes a client's request. */
    PendingRequest accept(
            PendingRequest.ForwardedRequest content,
            RequestAttributes subject,
            String requestClass,
            double budgetMs,
            boolean repeat,
            PendingRequest.ResponseSink answerer) {
        double budget = Math.max(1, Math.min(budgetMs, completeAllBy - loop.now()) - ANSWER_MARGIN_MS);
        PendingRequest request = new PendingRequest(nextRequest++, content, loop.now() + budget, answerer);
        requests.put(request.id, request);
        idsInUse.add(content.id());
        // A guard: should the module ever leave a request unanswered, the client is told in time all the same.
        request.deadlineGuard = loop.after(budget + LAST_RESORT_MS, () -> {
            LOG.log(System.Logger.Level.WARNING, "a request had no answer at its deadline");
            abandon(request);
            answerer.respondFailed();
        });
        deliver(new RequestArrived(
                request.id, subject.tenant(), subject.key(), repeat, requestClass, budget, subject.costMs()));
        return request;
    }

    /** The client has left, or can no longer be answered by the module. */
    void abandon(PendingRequest request) {
        if (!request.isComplete) {
            complete(request);
            deliver(new RequestAbandoned(request.id));
        }
    }

    private void complete(PendingRequest request) {
        request.isComplete = true;
        idsInUse.remove(request.forwarded.id());
        request.deadlineGuard.cancel();
        releaseIfDone(request);
    }

    private void releaseIfDone(PendingRequest request) {
        if (request.isComplete && request.attemptsInFlight == 0) {
            requests.remove(request.id);
        }
    }

    // ---- actions out ----------------------------------------------------------------------------------

    private void execute(Action action) {
        if (action instanceof Send a) {
            send(a);
        } else if (action instanceof Cancel a) {
            PendingRequest request = requests.get(a.request());
            if (request != null && a.attempt() < request.attempts.size() && request.attempts.get(a.attempt()) != null) {
                request.attempts.get(a.attempt()).cancel();
            }
        } else if (action instanceof Reject a) {
            PendingRequest request = requests.get(a.request());
            if (request != null && !request.isComplete) {
                complete(request);
                request.responses.respondRejected(a.retryAfterMs());
            }
        } else if (action instanceof Fail a) {
            PendingRequest request = requests.get(a.request());
            if (request != null && !request.isComplete) {
                complete(request);
                request.responses.respondFailed();
            }
        } else if (action instanceof SetTimer a) {
            loop.after(a.delayMs(), () -> deliver(new TimerFired(a.timer())));
        } else if (action instanceof Subscribe) {
            discovery.subscribe();
        } else if (action instanceof CheckHealth a) {
            checkHealth(a.server());
        } else if (action instanceof CloseIdleConnections a) {
            pool(a.server()).closeIdleBefore(loop.now());
        } else if (action instanceof BroadcastSummary a && peers != null) {
            peers.broadcast(a.bytes());
        }
    }

    private ConnectionPool pool(String server) {
        double limit = settings.limits().idleTimeoutMs();
        double most = limit > 0 ? IDLE_SHARE * limit : Double.POSITIVE_INFINITY;
        return pools.computeIfAbsent(server, id -> new ConnectionPool(loop, ConnectionPool.REUSE_DELAY_MS, most));
    }

    private void send(Send a) {
        PendingRequest request = requests.get(a.request());
        if (request == null) { // forgotten already, so over
            deliver(new AttemptEnded(a.request(), 0, a.server(), Outcome.NEVER_SENT, 0, true, null));
            return;
        }
        int attempt = request.attempts.size();
        InetSocketAddress to = discovery.addressOf(a.server());
        double left = request.deadlineMs - loop.now();
        if (request.isComplete || to == null || left <= 0 || a.timeoutMs() < 0) {
            request.attempts.add(null);
            deliver(new AttemptEnded(
                    a.request(), attempt, a.server(), Outcome.NEVER_SENT, 0, request.isComplete, null));
            return;
        }
        double timeout = a.timeoutMs() == 0 ? left : Math.min(a.timeoutMs(), left);
        request.attemptsInFlight++;
        if (!reserveConnection()) { // a lack of this sidecar's own, which the module must not hold against the server
            request.attempts.add(null);
            attemptEnded(request, attempt, a.server(), new HttpAttempt.Result(Outcome.NEVER_SENT, 0, null, null, null));
            return;
        }
        HttpAttempt sent = new HttpAttempt(
                loop,
                to,
                pool(a.server()),
                request(request.forwarded, to, timeout),
                () -> !request.isComplete && discovery.acceptsRequests(a.server()),
                (x, end) -> {
                    attemptsInFlight--;
                    attemptEnded(request, attempt, a.server(), end);
                });
        request.attempts.add(sent);
        attemptsInFlight++;
        sent.start(timeout, settings.limits().connectTimeoutMs(), handledAt + a.writeWithinMs());
    }

    /** Connections are bounded, lest descriptors run out: the longest idle make room. */
    private boolean reserveConnection() {
        int idle = pools.values().stream().mapToInt(ConnectionPool::size).sum();
        if (attemptsInFlight + idle < maxServerConnections) {
            return true;
        }
        if (loop.now() - boundLogged > BOUND_LOG_MS) { // a line per attempt would only add to the trouble
            boundLogged = loop.now();
            LOG.log(System.Logger.Level.WARNING, "server connections at their bound of {0}", maxServerConnections);
        }
        return pools.values().stream().anyMatch(ConnectionPool::closeOldest);
    }

    private static ByteBuffer request(PendingRequest.ForwardedRequest content, InetSocketAddress to, double timeoutMs) {
        MessageWriter request = MessageWriter.request(content.method(), content.target(), host(to))
                .headers(content.headers())
                .header(EXPIRES_IN_HEADER, Long.toString(Math.max(1, (long) timeoutMs)));
        return content.body().length == 0 && content.method().equals("GET")
                ? request.noBody()
                : request.body(content.body());
    }

    private static String host(InetSocketAddress to) {
        return to.getAddress().getHostAddress() + ":" + to.getPort();
    }

    private void attemptEnded(PendingRequest request, int attempt, String server, HttpAttempt.Result end) {
        request.attemptsInFlight--;
        boolean first = end.outcome() == Outcome.SERVED && !request.isComplete;
        if (first) {
            complete(request);
            request.responses.respondServed(end.body(), end.headers());
        }
        releaseIfDone(request);
        deliver(new AttemptEnded(
                request.id,
                attempt,
                server,
                end.outcome(),
                end.elapsedMs(),
                request.isComplete,
                LoadReport.parse(end.loadReport(), settings.loadReportFields())));
    }

    private void checkHealth(String server) {
        InetSocketAddress to = discovery.addressOf(server);
        if (to == null || !reserveConnection()) {
            deliver(new HealthChecked(server, false, 0, null));
            return;
        }
        attemptsInFlight++;
        boolean load = settings.loadReportsComeWithHealthChecks();
        ByteBuffer request = MessageWriter.request("GET", load ? "/_load" : "/ping", host(to))
                .noBody();
        new HttpAttempt(loop, to, pool(server), request, () -> true, (x, end) -> {
                    attemptsInFlight--;
                    boolean inBody = load && end.loadReport() == null && end.body() != null;
                    String report = inBody ? new String(end.body(), StandardCharsets.US_ASCII) : end.loadReport();
                    deliver(new HealthChecked(
                            server,
                            end.outcome() == Outcome.SERVED,
                            end.elapsedMs(),
                            LoadReport.parse(report, settings.loadReportFields())));
                })
                .start(PROBE_TIMEOUT_MS, settings.limits().connectTimeoutMs(), Double.POSITIVE_INFINITY);
    }

    /** Idle connections go before the server closes them: a request that crossed that close would be reset. */
    private void sweep() {
        pools.values().forEach(ConnectionPool::closeExpired);
        loop.after(SWEEP_MS, this::sweep);
    }
}
