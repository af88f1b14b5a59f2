package dewplank.dataplane;

import dewplank.configuration.RequestLimits;
import dewplank.configuration.Route;
import dewplank.configuration.Service;
import dewplank.exchange.InboundConnection;
import dewplank.exchange.InboundConnections;
import dewplank.net.EventLoop;
import dewplank.routing.Policy;
import dewplank.routing.PrefillDecodePicker;
import dewplank.routing.ServerPicker;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * Receives clients' requests, admits them to their routes, and creates a {@link ProxiedRequest} for each. Called by the
 * connections of the front listener and by {@link DataPlane}; must be used on the event loop's thread only.
 */
final class Forwarder implements InboundConnection.Service {
    private static final double CONNECT_TIMEOUT_MS = 250;
    /** Limit on concurrently open requests; further ones are rejected. */
    private static final int MAX_OPEN_REQUESTS = 4_096;
    /** Retry-After of requests that are rejected before they are sent to a server. */
    static final double RETRY_AFTER_MS = 500;

    /**
     * Size allowed for the request line in addition to the limit on heads, which may apply to the header fields alone.
     */
    private static final int REQUEST_LINE_BYTES = 8 * 1024;
    /** Limit on heads before the first configuration, high enough to accept any head that a configuration may allow. */
    private static final int MAX_HEAD_BYTES_BEFORE_CONFIGURATION = 128 * 1024;

    private final EventLoop loop;
    private final FleetMetadata fleet;
    private final ServerPicker picker;
    private final PrefillDecodePicker prefillDecodePicker;
    private final RandomGenerator random;
    private final Counters counters;
    private final RetryBudgets retryBudgets;
    private final ServerFeedback serverFeedback;
    private final double connectTimeoutMs;
    private final AccessControl accessControl;
    private final RequestAdmission admission;
    private final Map<InboundConnection, ProxiedRequest> open = new HashMap<>();
    private final RequestsAwaitingMetadata awaitingMetadata;
    private final QuotaClient quotas;
    private final InboundConnections connections = new InboundConnections();
    private boolean closing;

    Forwarder(
            EventLoop loop,
            FleetMetadata fleet,
            ServerPicker picker,
            RandomGenerator random,
            Counters counters,
            RetryBudgets.Limits limits,
            AccessControl.Revocation revocation,
            QuotaClient quotas) {
        this(loop, fleet, picker, random, counters, limits, revocation, quotas, CONNECT_TIMEOUT_MS);
    }

    /**
     * @param connectTimeoutMs timeout for establishing a connection to a server
     */
    Forwarder(
            EventLoop loop,
            FleetMetadata fleet,
            ServerPicker picker,
            RandomGenerator random,
            Counters counters,
            RetryBudgets.Limits limits,
            AccessControl.Revocation revocation,
            QuotaClient quotas,
            double connectTimeoutMs) {
        this.loop = loop;
        this.fleet = fleet;
        this.picker = picker;
        this.prefillDecodePicker = new PrefillDecodePicker(picker);
        this.random = random;
        this.counters = counters;
        this.retryBudgets = new RetryBudgets(loop, counters, limits);
        this.serverFeedback = new ServerFeedback(loop, picker, counters);
        this.awaitingMetadata = new RequestsAwaitingMetadata(loop);
        this.connectTimeoutMs = connectTimeoutMs;
        this.quotas = quotas;
        this.accessControl = new AccessControl(loop, fleet, revocation);
        this.admission = new RequestAdmission(fleet, accessControl, quotas, counters, this::start);
    }

    /** Creates the handler of a new client connection. */
    InboundConnection newConnection() {
        return connections.open(loop, this);
    }

    /**
     * Closes a client's connection that waits, if there is one, so that the next client is accepted.
     *
     * @param reuseMs how long after a response a client may send its next request
     */
    void makeRoom(double reuseMs) {
        connections.closeLongestWaiting(loop.now(), reuseMs);
    }

    // ---- requests -------------------------------------------------------------------------------------

    @Override
    public void handle(InboundConnection.Request request, InboundConnection connection) {
        counters.add(Counters.Count.REQUESTS);
        if (!fleet.isComplete()) {
            awaitMetadata(request, connection);
            return;
        }
        admit(request, connection, connection.waitingSince());
    }

    private void awaitMetadata(InboundConnection.Request request, InboundConnection connection) {
        counters.add(Counters.Count.NOT_READY);
        if (awaitingMetadata.isFull()) {
            reject(connection);
            return;
        }
        awaitingMetadata.add(request, connection, () -> reject(connection));
    }

    private void reject(InboundConnection connection) {
        admission.reject(connection, RETRY_AFTER_MS);
    }

    /**
     * Called after each update of the fleet's metadata; handles the requests that wait for the metadata once it is
     * complete.
     */
    void onFleetChanged() {
        retryBudgets.recordMembership(fleet.dataPlaneCount());
        if (fleet.configuration() != null) {
            quotas.retainTenants(fleet.configuration().tenantDirectory());
        }
        if (fleet.isComplete() && !awaitingMetadata.isEmpty()) {
            awaitingMetadata.releaseAll(this::admit);
        }
    }

    private void admit(InboundConnection.Request request, InboundConnection connection, double arrivedAt) {
        if (open.size() + admission.waitingCount() >= MAX_OPEN_REQUESTS) {
            reject(connection);
        } else {
            admission.decide(request, connection, arrivedAt);
        }
    }

    private void start(
            InboundConnection.Request request,
            InboundConnection connection,
            Route route,
            Credentials credentials,
            double arrivedAt) {
        String serviceName = TrafficSplit.drawService(route.split(), random);
        Service service = fleet.configuration().services().get(serviceName);
        ProxiedRequest proxied = service.engine() == null
                ? new UnaryRequest(this, request, connection, route, service, credentials, arrivedAt)
                : new GenerationRequest(this, request, connection, route, service, credentials, arrivedAt);
        open.put(connection, proxied);
        retryBudgets.recordRequest(serviceName);
        proxied.start();
    }

    /** Removes a request that has received its final response. */
    void onRequestEnded(InboundConnection connection) {
        open.remove(connection);
    }

    // ---- connections ----------------------------------------------------------------------------------

    @Override
    public void clientDisconnected(InboundConnection connection) {
        awaitingMetadata.drop(connection);
        admission.drop(connection);
        ProxiedRequest request = open.remove(connection);
        if (request != null) {
            counters.add(Counters.Count.LEFT);
            request.abandon();
        }
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
        int fields = fleet.configuration() == null ? MAX_HEAD_BYTES_BEFORE_CONFIGURATION : limits().maxHeaderBytes();
        return (int) Math.min(Integer.MAX_VALUE, (long) fields + REQUEST_LINE_BYTES);
    }

    private RequestLimits limits() {
        return fleet.configuration() == null
                ? RequestLimits.DEFAULTS
                : fleet.configuration().limits();
    }

    int openRequests() {
        return open.size() + awaitingMetadata.size() + admission.waitingCount();
    }

    int openConnections() {
        return connections.size();
    }

    /** Returns a copy, so that callers can iterate while connections end. */
    List<InboundConnection> connections() {
        return connections.all();
    }

    // ---- shutdown -------------------------------------------------------------------------------------

    /** Closes each connection after its next response. */
    void close() {
        closing = true;
    }

    /**
     * Ends all open requests when the process terminates. The status of each response depends on whether the request
     * may have run.
     */
    void respondToAll() {
        awaitingMetadata.releaseAll((request, connection, arrivedAt) -> reject(connection));
        admission.rejectAll();
        List.copyOf(open.values()).forEach(ProxiedRequest::terminate);
    }

    // ---- shared by requests ---------------------------------------------------------------------------

    EventLoop loop() {
        return loop;
    }

    FleetMetadata fleet() {
        return fleet;
    }

    ServerPicker picker() {
        return picker;
    }

    /**
     * Whether requests can be served: the fleet's metadata is complete, and recent enough if access keys require it.
     */
    boolean isServing() {
        return fleet.isComplete() && accessControl.isServing();
    }

    /** The policy, which defines the enabled mechanisms. */
    Policy policy() {
        return picker.policy();
    }

    PrefillDecodePicker prefillDecodePicker() {
        return prefillDecodePicker;
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

    RetryBudgets retryBudgets() {
        return retryBudgets;
    }

    ServerFeedback serverFeedback() {
        return serverFeedback;
    }
}
