package dewplank.dataplane;

import dewplank.configuration.RequestLimits;
import dewplank.configuration.Route;
import dewplank.configuration.Service;
import dewplank.exchange.InboundConnection;
import dewplank.net.EventLoop;
import dewplank.routing.Policy;
import dewplank.routing.PrefillDecodePicker;
import dewplank.routing.ServerPicker;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

/**
 * Takes clients' requests, finds their routes, and has a {@link ProxiedRequest} carry each of them. Called by the
 * connections of the front listener and by {@link DataPlane}; on the event loop's thread only.
 */
final class Forwarder implements InboundConnection.Service {
    private static final double CONNECT_TIMEOUT_MS = 250;
    /** Requests open at once, beyond which further ones are rejected. */
    private static final int MAX_OPEN_REQUESTS = 4_096;
    /** Of requests that are rejected before they are sent anywhere. */
    static final double RETRY_AFTER_MS = 500;

    /** The limit on heads may be meant for the fields alone: the request line gets this much beside them. */
    private static final int REQUEST_LINE_BYTES = 8 * 1024;
    /** Before there is a configuration: nothing is rejected that it may allow. */
    private static final int UNCONFIGURED_HEAD_BYTES = 128 * 1024;

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
    private final ParkedRequests parked;
    private final QuotaClient quotas;
    private final Set<InboundConnection> connections = new HashSet<>();
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
     * @param connectTimeoutMs how long a connection to a server may take to come up
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
        this.parked = new ParkedRequests(loop);
        this.connectTimeoutMs = connectTimeoutMs;
        this.quotas = quotas;
        this.accessControl = new AccessControl(loop, fleet, revocation);
        this.admission = new RequestAdmission(fleet, accessControl, quotas, counters, this::start);
    }

    /** The handler of a client's new connection. */
    InboundConnection newConnection() {
        InboundConnection connection = new InboundConnection(loop, this);
        connections.add(connection);
        return connection;
    }

    // ---- requests -------------------------------------------------------------------------------------

    @Override
    public void handle(InboundConnection.Request request, InboundConnection connection) {
        counters.add(Counters.Count.REQUESTS);
        if (!fleet.isComplete()) {
            park(request, connection);
            return;
        }
        admit(request, connection, connection.waitingSince());
    }

    private void park(InboundConnection.Request request, InboundConnection connection) {
        counters.add(Counters.Count.NOT_READY);
        if (parked.isFull()) {
            reject(connection);
            return;
        }
        parked.park(request, connection, () -> reject(connection));
    }

    private void reject(InboundConnection connection) {
        admission.reject(connection, RETRY_AFTER_MS);
    }

    /** Called after each update of the fleet's metadata: parked requests go on once it is complete. */
    void onFleetChanged() {
        retryBudgets.recordMembership(fleet.dataPlanes());
        if (fleet.configuration() != null) {
            quotas.retainTenants(fleet.configuration().tenantDirectory());
        }
        if (fleet.isComplete() && !parked.isEmpty()) {
            parked.releaseAll(this::admit);
        }
    }

    private void admit(InboundConnection.Request request, InboundConnection connection, double arrivedAt) {
        if (open.size() + admission.waiting() >= MAX_OPEN_REQUESTS) {
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

    /** A request has its final answer. */
    void requestEnded(InboundConnection connection) {
        open.remove(connection);
    }

    // ---- connections ----------------------------------------------------------------------------------

    @Override
    public void callerGone(InboundConnection connection) {
        parked.drop(connection);
        admission.drop(connection);
        ProxiedRequest request = open.remove(connection);
        if (request != null) {
            counters.add(Counters.Count.LEFT);
            request.abandon();
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
        int fields = fleet.configuration() == null ? UNCONFIGURED_HEAD_BYTES : limits().maxHeaderBytes();
        return (int) Math.min(Integer.MAX_VALUE, (long) fields + REQUEST_LINE_BYTES);
    }

    private RequestLimits limits() {
        return fleet.configuration() == null
                ? RequestLimits.DEFAULTS
                : fleet.configuration().limits();
    }

    int openRequests() {
        return open.size() + parked.size() + admission.waiting();
    }

    int openConnections() {
        return connections.size();
    }

    /** A copy, which may be gone through while connections end. */
    List<InboundConnection> connections() {
        return new ArrayList<>(connections);
    }

    // ---- shutdown -------------------------------------------------------------------------------------

    /** From here on each answer is the last on its connection. */
    void close() {
        closing = true;
    }

    /** The process ends: what is still open gets the answer that is true by now. */
    void terminateAll() {
        parked.releaseAll((request, connection, arrivedAt) -> reject(connection));
        admission.rejectAll();
        List.copyOf(open.values()).forEach(ProxiedRequest::terminate);
    }

    // ---- what requests share --------------------------------------------------------------------------

    EventLoop loop() {
        return loop;
    }

    FleetMetadata fleet() {
        return fleet;
    }

    ServerPicker picker() {
        return picker;
    }

    /** Whether requests can be served: the fleet's state is here, and recent enough where keys need that. */
    boolean isServing() {
        return fleet.isComplete() && accessControl.isServing();
    }

    /** Which mechanisms decide. */
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
