package dewplank.controlplane;

import dewplank.message.Endpoint;
import dewplank.net.Scheduler;
import dewplank.routing.Mechanism;
import dewplank.routing.Policy;
import dewplank.routing.StagePlanner;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Orders model servers to change their stage (prefill or decode) to the one that {@link StagePlanner} computes from
 * their reports.
 *
 * <p>Only the lease holder polls reports and sends orders. For each service it reads the reports ({@link #snapshot}),
 * decides ({@link ServiceSnapshot}), limits the rate of orders, announces a change to data planes, and then sends the
 * order. A new lease holder waits until no order of its predecessor can arrive any more. After a rejected order, the
 * next order to the server requires a new report. Must be used on the loop's thread only.
 */
final class StageController {
    private static final Logger LOG = LoggerFactory.getLogger(StageController.class);

    private static final double CHECK_INTERVAL_MS = 250;
    private static final double POLL_INTERVAL_MS = 1_200;
    /**
     * Maximum number of report requests per poll. Requests are charged and take time, so the servers of a larger fleet
     * are polled in rotation.
     */
    private static final int MAX_REPORTS_PER_POLL = 32;
    /** Maximum age of a report on which a decision is based. A report is still valid after two failed polls. */
    private static final double REPORT_VALIDITY_MS = 3_000;
    /**
     * Time between the announcement of a change to data planes and the order. The server rejects requests that have not
     * begun when the order arrives. Data planes apply a list within a heartbeat interval (0.3 s), and requests sent
     * before that have begun by the end of this time.
     */
    private static final double ANNOUNCEMENT_LEAD_MS = 500;
    /**
     * Time that a new lease holder waits in addition to the lease. Its predecessor wrote the last order before its own
     * lease expired, so before this process acquired the lease. The request with that order times out after 600 ms,
     * whether or not the order was delivered.
     */
    private static final double LEASE_MARGIN_MS = 700;

    private static final int STATUS_OK = 200;
    private static final int STATUS_ACCEPTED = 202;

    private final Scheduler loop;
    private final String node;
    private final double leaseMs;
    private final EndpointPoller poller;
    private final SingletonRole role;
    private final ModelServerClient client;
    private final Policy policy;
    private final Map<String, ModelServerReport> reports = new HashMap<>();
    private final PendingStageOrders pendingOrders = new PendingStageOrders();
    private final Map<String, Double> lastOrderAt = new HashMap<>();
    private double leaseAcquiredAt = Double.POSITIVE_INFINITY;
    private long leaseToken;
    private double nextPollAt;
    private int pollOffset;
    private long ordersSent;

    /**
     * @param node the sender's name in orders
     * @param leaseMs the duration of a lease according to the settings
     */
    StageController(
            Scheduler loop,
            String node,
            double leaseMs,
            EndpointPoller poller,
            SingletonRole role,
            ModelServerClient client,
            Policy policy) {
        this.loop = loop;
        this.node = node;
        this.leaseMs = leaseMs;
        this.poller = poller;
        this.role = role;
        this.client = client;
        this.policy = policy;
    }

    void start() {
        check();
    }

    /** The number of orders sent in this incarnation. */
    long ordersSent() {
        return ordersSent;
    }

    private void check() {
        double now = loop.now();
        if (role.isLeaseHolder()) {
            checkAsLeaseHolder(now);
        } else {
            leaseAcquiredAt = Double.POSITIVE_INFINITY;
            clearReportsAndOrders();
        }
        loop.after(CHECK_INTERVAL_MS, this::check);
    }

    private void checkAsLeaseHolder(double now) {
        if (role.fencingToken() != leaseToken) { // another process may have held the lease between two checks
            leaseToken = role.fencingToken();
            leaseAcquiredAt = now;
            clearReportsAndOrders();
        }
        leaseAcquiredAt = Math.min(leaseAcquiredAt, now);
        if (now >= nextPollAt) {
            nextPollAt = now + POLL_INTERVAL_MS;
            pollReports();
        }
        if (now - leaseAcquiredAt >= leaseMs + LEASE_MARGIN_MS && policy.isEnabled(Mechanism.STAGE_ORDERS)) {
            stagedServersByService().forEach(this::orderChanges);
        }
    }

    private void clearReportsAndOrders() {
        reports.clear();
        pendingOrders.clear();
        poller.clearStageOverrides();
    }

    private Map<String, List<Endpoint>> stagedServersByService() {
        Map<String, List<Endpoint>> services = new LinkedHashMap<>();
        for (Endpoint server : poller.newest().endpoints) {
            if (server.stage != null && !server.draining) {
                services.computeIfAbsent(server.service, k -> new ArrayList<>()).add(server);
            }
        }
        return services;
    }

    // ---- reports --------------------------------------------------------------------------------------

    private void pollReports() {
        List<Endpoint> servers = new ArrayList<>();
        stagedServersByService().values().forEach(servers::addAll);
        pendingOrders.retainOnly(servers.stream().map(s -> s.instanceId).toList());
        client.retainOnly(servers.stream().map(s -> s.address).toList());
        int count = Math.min(servers.size(), MAX_REPORTS_PER_POLL);
        for (int i = 0; i < count; i++) {
            requestReport(servers.get((pollOffset + i) % servers.size()));
        }
        pollOffset = servers.isEmpty() ? 0 : (pollOffset + count) % servers.size();
    }

    private void requestReport(Endpoint server) {
        client.requestReport(server, role::isLeaseHolder, (status, body) -> {
            if (status == STATUS_OK) {
                storeReport(server, body);
            }
        });
    }

    private void storeReport(Endpoint server, byte[] body) {
        try {
            reports.put(server.instanceId, ModelServerReport.parse(server, body, loop.now()));
        } catch (UnreadableResponseException e) {
            LOG.debug("unreadable report server={}", server.instanceId, e);
        }
    }

    /** Evaluates the reports of a service's servers; removes orders that they confirm or that have timed out. */
    private ServiceSnapshot snapshot(List<Endpoint> servers, double now) {
        List<StagePlanner.ModelServer> states = new ArrayList<>();
        boolean unknownOrderInProgress = false;
        for (Endpoint server : servers) {
            ModelServerReport report = reports.get(server.instanceId);
            if (report != null && now - report.receivedAt() <= REPORT_VALIDITY_MS) {
                StagePlanner.ModelServer state = expectedState(report);
                states.add(state);
                unknownOrderInProgress |= state.isChanging() && !pendingOrders.contains(server.instanceId);
            }
        }
        return new ServiceSnapshot(states, servers.size(), unknownOrderInProgress);
    }

    /** The state that the server reported; for a server with a pending order, the state while it changes. */
    private StagePlanner.ModelServer expectedState(ModelServerReport report) {
        StagePlanner.ModelServer state = report.state();
        switch (pendingOrders.update(report, loop.now())) {
            case PENDING:
                return state.changingTo(pendingOrders.isToPrefill(state.instanceId()));
            case CONFIRMED:
                poller.overrideStage(
                        state.instanceId(), stageName(state.isPrefill()), PendingStageOrders.ORDER_TIMEOUT_MS);
                poller.publishStageOverrides(role.fencingToken());
                return state;
            default:
                return state;
        }
    }

    // ---- orders ---------------------------------------------------------------------------------------

    private void orderChanges(String service, List<Endpoint> servers) {
        double now = loop.now();
        ServiceSnapshot snapshot = snapshot(servers, now);
        if (!snapshot.allowsOrders() || isThrottled(service, snapshot.orderIntervalMs(), now)) {
            return;
        }
        List<StagePlanner.StageChange> changes = snapshot.nextChanges(policy.isEnabled(Mechanism.SEVERAL_ORDERS));
        if (!changes.isEmpty()) {
            lastOrderAt.put(service, now);
            announceAndSendOrders(servers, changes, snapshot.isIdle());
        }
    }

    private boolean isThrottled(String service, double intervalMs, double now) {
        return now - lastOrderAt.getOrDefault(service, Double.NEGATIVE_INFINITY) < intervalMs;
    }

    /** Notifies data planes before it sends the orders, unless no request is running that could be rejected. */
    private void announceAndSendOrders(List<Endpoint> servers, List<StagePlanner.StageChange> changes, boolean idle) {
        long fencingToken = role.fencingToken();
        for (StagePlanner.StageChange change : changes) {
            pendingOrders.add(change, loop.now());
            poller.overrideStage(change.instanceId(), Endpoint.CHANGING, PendingStageOrders.ORDER_TIMEOUT_MS);
        }
        poller.publishStageOverrides(fencingToken);
        loop.after(idle ? 0 : ANNOUNCEMENT_LEAD_MS, () -> {
            if (role.isLeaseHolder(fencingToken)) {
                changes.forEach(c -> sendOrder(findServer(servers, c), c, fencingToken));
            }
        });
    }

    private static Endpoint findServer(List<Endpoint> servers, StagePlanner.StageChange change) {
        return servers.stream()
                .filter(s -> s.instanceId.equals(change.instanceId()))
                .findFirst()
                .orElseThrow();
    }

    private void sendOrder(Endpoint server, StagePlanner.StageChange change, long fencingToken) {
        String stage = stageName(change.toPrefill());
        ordersSent++;
        LOG.info("stage order sent server={} stage={} token={}", server.instanceId, stage, fencingToken);
        client.sendOrder(
                server, orderBody(stage, fencingToken), () -> role.isLeaseHolder(fencingToken), (status, body) -> {
                    if (status != STATUS_OK && status != STATUS_ACCEPTED) {
                        LOG.info("stage order rejected server={} status={}", server.instanceId, status);
                        pendingOrders.remove(server.instanceId);
                        poller.clearStageOverride(server.instanceId);
                        reports.remove(server.instanceId);
                    }
                });
    }

    private byte[] orderBody(String stage, long fencingToken) {
        String body = JsonText.object(
                JsonText.field("operation", "stage"),
                JsonText.field("stage", stage),
                JsonText.field("holder", node),
                JsonText.rawField("fence_number", fencingToken));
        return body.getBytes(StandardCharsets.UTF_8);
    }

    private static String stageName(boolean prefill) {
        return prefill ? "prefill" : "decode";
    }
}
