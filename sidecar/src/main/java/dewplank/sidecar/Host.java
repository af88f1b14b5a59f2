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
import dewplank.discovery.Discovery;
import dewplank.discovery.Listing;
import dewplank.exchange.ConnectionPool;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;
import dewplank.peers.Peers;
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
public final class Host {
    static final String EXPIRES = "X-Expires-In-Ms";
    private static final System.Logger LOG = System.getLogger(Host.class.getName());
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
    private final Discovery discovery;
    private final Listing known;
    private final Map<String, Idempotency> effects;
    private final Set<String> tenants;
    private final Peers peers; // null where the settings allow none
    private final Map<Long, ClientRequest> requests = new HashMap<>();
    private final Set<String> openIds = new HashSet<>();
    private final Map<String, ConnectionPool> pools = new HashMap<>();
    private final int mostServerConnections;
    private final Deque<Event> events = new ArrayDeque<>();
    private boolean telling;
    private long nextRequest = 1;
    private int attemptsOut;
    private double boundLogged;
    private double handledAt;
    private double answerBy = Double.POSITIVE_INFINITY;

    Host(EventLoop loop, SidecarConfig config, Balancer balancer) {
        this.loop = loop;
        this.settings = config.settings();
        this.balancer = balancer;
        this.discovery = new Discovery(
                loop,
                config.discovery(),
                settings.safety().onlyDrainingIsBinding(),
                settings.endpointListIsPushed(),
                this::listed);
        this.known = Listing.of(config.known());
        this.effects =
                settings.classes().stream().collect(Collectors.toMap(RequestClass::name, RequestClass::idempotency));
        this.tenants = settings.tenants().stream().map(Tenant::name).collect(Collectors.toSet());
        this.peers = config.peers() == null
                ? null
                : new Peers(
                        loop,
                        config.peers(),
                        settings.replicaIndex(),
                        bytes -> PeerSummary.decode(bytes) != null,
                        (peer, bytes) -> tell(new PeerSummaryReceived(peer, bytes)));
        this.mostServerConnections = mostServerConnections(config);
    }

    static int mostServerConnections(SidecarConfig config) {
        return config.sockets() - mostClients(config) - SPARE;
    }

    /** Of the descriptors, clients may hold half; the rest is for servers. */
    static int mostClients(SidecarConfig config) {
        return config.sockets() / 2;
    }

    public void start() {
        if (peers != null) {
            peers.start();
        }
        discovery.start(known);
        loop.after(SWEEP_MS, this::sweep);
    }

    /** Whether there is a server to send to. */
    boolean canServe() {
        return discovery.anyUp();
    }

    /** What a repeat of such a request does, or null where the settings have no such class. */
    Idempotency effect(String requestClass) {
        return effects.get(requestClass);
    }

    /** Whether a client's request with this id has no final answer yet. */
    boolean isOpen(String id) {
        return openIds.contains(id);
    }

    /** The longest that any request may still be open, by the settings. */
    double longestDeadlineMs() {
        return settings.classes().stream()
                .mapToDouble(RequestClass::deadlineMs)
                .max()
                .orElse(0);
    }

    /** The shortest time within which a class wants its answers. */
    double shortestAimMs() {
        return settings.classes().stream()
                .mapToDouble(RequestClass::latencyTargetMs)
                .min()
                .orElse(0);
    }

    /** All is answered by then: new requests have no longer than that, and what is still open is failed. */
    void answerBy(double time) {
        answerBy = time;
        loop.after(time - loop.now(), () -> {
            for (ClientRequest request : new ArrayList<>(requests.values())) {
                if (!request.over) {
                    abandon(request);
                    request.answerer.failed();
                }
            }
        });
    }

    void discoveryMoved(InetSocketAddress to) {
        discovery.moveTo(to);
    }

    int requestsOpen() {
        return (int) requests.values().stream().filter(i -> !i.over).count();
    }

    boolean holdsNothing() {
        return requests.isEmpty() && openIds.isEmpty() && attemptsOut == 0;
    }

    void close() {
        discovery.close();
        closePeers();
    }

    /** May be called from any thread. */
    void closePeers() {
        if (peers != null) {
            peers.close();
        }
    }

    Peers peers() {
        return peers;
    }

    /** The tenants that the settings name. */
    Set<String> tenants() {
        return tenants;
    }

    /** What is kept for a server goes with it: over a day servers come and go with ever new ids. */
    private void listed(EndpointUpdate news) {
        tell(news);
        pools.entrySet().removeIf(e -> {
            boolean gone = discovery.address(e.getKey()) == null;
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
    private void tell(Event event) {
        events.addLast(event);
        if (telling) {
            return;
        }
        telling = true;
        try {
            while (!events.isEmpty()) {
                handle(events.removeFirst());
            }
        } finally {
            telling = false;
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
                carryOut(action);
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
        ClientRequest request = requests.get(id);
        if (request != null && !request.over) {
            abandon(request);
            request.answerer.failed();
        }
    }

    /** Takes a client's request. */
    ClientRequest take(
            ClientRequest.Content content,
            Subject subject,
            String requestClass,
            double budgetMs,
            boolean repeat,
            ClientRequest.Answerer answerer) {
        double budget = Math.max(1, Math.min(budgetMs, answerBy - loop.now()) - ANSWER_MARGIN_MS);
        ClientRequest request = new ClientRequest(nextRequest++, content, loop.now() + budget, answerer);
        requests.put(request.id, request);
        openIds.add(content.id());
        // A guard: should the module ever leave a request unanswered, the client is told in time all the same.
        request.lastResort = loop.after(budget + LAST_RESORT_MS, () -> {
            LOG.log(System.Logger.Level.WARNING, "a request had no answer at its deadline");
            abandon(request);
            answerer.failed();
        });
        tell(new RequestArrived(
                request.id, subject.tenant(), subject.key(), repeat, requestClass, budget, subject.cost()));
        return request;
    }

    /** The client has left, or can no longer be answered by the module. */
    void abandon(ClientRequest request) {
        if (!request.over) {
            finish(request);
            tell(new RequestAbandoned(request.id));
        }
    }

    private void finish(ClientRequest request) {
        request.over = true;
        openIds.remove(request.content.id());
        request.lastResort.cancel();
        forgetIfDone(request);
    }

    private void forgetIfDone(ClientRequest request) {
        if (request.over && request.out == 0) {
            requests.remove(request.id);
        }
    }

    // ---- actions out ----------------------------------------------------------------------------------

    private void carryOut(Action action) {
        if (action instanceof Send a) {
            send(a);
        } else if (action instanceof Cancel a) {
            ClientRequest request = requests.get(a.request());
            if (request != null && a.attempt() < request.attempts.size() && request.attempts.get(a.attempt()) != null) {
                request.attempts.get(a.attempt()).cancel();
            }
        } else if (action instanceof Reject a) {
            ClientRequest request = requests.get(a.request());
            if (request != null && !request.over) {
                finish(request);
                request.answerer.refused(a.retryAfterMs());
            }
        } else if (action instanceof Fail a) {
            ClientRequest request = requests.get(a.request());
            if (request != null && !request.over) {
                finish(request);
                request.answerer.failed();
            }
        } else if (action instanceof SetTimer a) {
            loop.after(a.delayMs(), () -> tell(new TimerFired(a.timer())));
        } else if (action instanceof Subscribe) {
            discovery.subscribe();
        } else if (action instanceof CheckHealth a) {
            probe(a.server());
        } else if (action instanceof CloseIdleConnections a) {
            pool(a.server()).closeIdleBefore(loop.now());
        } else if (action instanceof BroadcastSummary a && peers != null) {
            peers.tell(a.bytes());
        }
    }

    private ConnectionPool pool(String server) {
        double limit = settings.limits().idleTimeoutMs();
        double most = limit > 0 ? IDLE_SHARE * limit : Double.POSITIVE_INFINITY;
        return pools.computeIfAbsent(server, id -> new ConnectionPool(loop, ConnectionPool.REUSE_DELAY_MS, most));
    }

    private void send(Send a) {
        ClientRequest request = requests.get(a.request());
        if (request == null) { // forgotten already, so over
            tell(new AttemptEnded(a.request(), 0, a.server(), Outcome.NEVER_SENT, 0, true, null));
            return;
        }
        int attempt = request.attempts.size();
        InetSocketAddress to = discovery.address(a.server());
        double left = request.deadline - loop.now();
        if (request.over || to == null || left <= 0 || a.timeoutMs() < 0) {
            request.attempts.add(null);
            tell(new AttemptEnded(a.request(), attempt, a.server(), Outcome.NEVER_SENT, 0, request.over, null));
            return;
        }
        double timeout = a.timeoutMs() == 0 ? left : Math.min(a.timeoutMs(), left);
        request.out++;
        if (!roomForAttempt()) { // a lack of this sidecar's own, which the module must not hold against the server
            request.attempts.add(null);
            ended(request, attempt, a.server(), new Attempt.End(Outcome.NEVER_SENT, 0, null, null, null));
            return;
        }
        Attempt sent = new Attempt(
                loop,
                to,
                pool(a.server()),
                request(request.content, to, timeout),
                () -> !request.over && discovery.takesRequests(a.server()),
                (x, end) -> {
                    attemptsOut--;
                    ended(request, attempt, a.server(), end);
                });
        request.attempts.add(sent);
        attemptsOut++;
        sent.start(timeout, settings.limits().connectTimeoutMs(), handledAt + a.writeWithinMs());
    }

    /** Connections are bounded, lest descriptors run out: the longest idle make room. */
    private boolean roomForAttempt() {
        int idle = pools.values().stream().mapToInt(ConnectionPool::size).sum();
        if (attemptsOut + idle < mostServerConnections) {
            return true;
        }
        if (loop.now() - boundLogged > BOUND_LOG_MS) { // a line per attempt would only add to the trouble
            boundLogged = loop.now();
            LOG.log(System.Logger.Level.WARNING, "server connections at their bound of {0}", mostServerConnections);
        }
        return pools.values().stream().anyMatch(ConnectionPool::closeOldest);
    }

    private static ByteBuffer request(ClientRequest.Content content, InetSocketAddress to, double timeoutMs) {
        MessageWriter request = MessageWriter.request(content.method(), content.target(), host(to))
                .headers(content.headers())
                .header(EXPIRES, Long.toString(Math.max(1, (long) timeoutMs)));
        return content.body().length == 0 && content.method().equals("GET")
                ? request.noBody()
                : request.body(content.body());
    }

    private static String host(InetSocketAddress to) {
        return to.getAddress().getHostAddress() + ":" + to.getPort();
    }

    private void ended(ClientRequest request, int attempt, String server, Attempt.End end) {
        request.out--;
        boolean first = end.outcome() == Outcome.SERVED && !request.over;
        if (first) {
            finish(request);
            request.answerer.served(end.body(), end.headers());
        }
        forgetIfDone(request);
        tell(new AttemptEnded(
                request.id,
                attempt,
                server,
                end.outcome(),
                end.tookMs(),
                request.over,
                LoadReport.parse(end.loadReport(), settings.loadReportFields())));
    }

    private void probe(String server) {
        InetSocketAddress to = discovery.address(server);
        if (to == null || !roomForAttempt()) {
            tell(new HealthChecked(server, false, 0, null));
            return;
        }
        attemptsOut++;
        boolean load = settings.loadReportsComeWithHealthChecks();
        ByteBuffer request = MessageWriter.request("GET", load ? "/_load" : "/ping", host(to))
                .noBody();
        new Attempt(loop, to, pool(server), request, () -> true, (x, end) -> {
                    attemptsOut--;
                    boolean inBody = load && end.loadReport() == null && end.body() != null;
                    String report = inBody ? new String(end.body(), StandardCharsets.US_ASCII) : end.loadReport();
                    tell(new HealthChecked(
                            server,
                            end.outcome() == Outcome.SERVED,
                            end.tookMs(),
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
