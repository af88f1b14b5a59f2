package dewplank.controlplane;

import com.jsoniter.JsonIterator;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
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
 * Keeps the stages of model servers what they should be: the holder of the role asks them for their state and orders
 * changes, a few at a time for each service. A new holder waits until no order of its predecessor can arrive any more.
 */
final class StageController {
    private static final Logger LOG = LoggerFactory.getLogger(StageController.class);
    private static final double CHECK_INTERVAL_MS = 250;
    private static final double POLL_INTERVAL_MS = 1_200;
    private static final int MAX_REPORTS_PER_POLL = 32; // by turns beyond that: reports are priced, and cost time
    /** Of the servers, those that have to have reported: from a few nothing can be said of the zones of the rest. */
    private static final double MIN_REPORTED_FRACTION = 0.8;

    /** An order that no report has shown to be done by then was not taken, or its server is gone. */
    private static final double ORDER_TIMEOUT_MS = 10_000;
    /**
     * Between telling data planes that a server changes and the order: whatever has not begun there when it comes is
     * turned away. A list is in force within a beat (0.3 s) and what was sent until then has begun by then.
     */
    private static final double ANNOUNCEMENT_LEAD_MS = 500;

    private static final double REPORT_VALIDITY_MS = 3_000;
    private static final double ORDER_INTERVAL_MS = 2_500; // a change takes a second or two to show
    private static final double IDLE_ORDER_INTERVAL_MS = 300; // while nothing runs anywhere
    /**
     * Beyond the lease that the operators' rules name. The last order of a predecessor was written before its lease
     * lapsed, so before the role was won here, and its call is given up 600 ms later, on its way or not.
     */
    private static final double LEASE_MARGIN_MS = 700;

    private record TimedReport(StagePlanner.Engine engine, double at) {}

    /** An order that was sent and that no report has shown to be done. */
    private record PendingOrder(boolean toPrefill, double at) {}

    private final Scheduler loop;
    private final String holder;
    private final double leaseMs;
    private final EndpointPoller poller;
    private final SingletonRole role;
    private final ModelServerClient client;
    private final Policy policy;
    private final Map<String, TimedReport> reports = new HashMap<>();
    private final Map<String, PendingOrder> pending = new HashMap<>();
    private final Map<String, Double> lastOrderAt = new HashMap<>();
    private double leaseHeldSince = Double.POSITIVE_INFINITY;
    private long leaseToken;
    private double nextPollAt;
    private int pollOffset;
    private long ordersSent;

    StageController(
            Scheduler loop,
            String holder,
            double leaseMs,
            EndpointPoller poller,
            SingletonRole role,
            ModelServerClient client,
            Policy policy) {
        this.policy = policy;
        this.loop = loop;
        this.holder = holder;
        this.leaseMs = leaseMs;
        this.poller = poller;
        this.role = role;
        this.client = client;
    }

    void start() {
        check();
    }

    /** Orders sent in this life. */
    long ordersSent() {
        return ordersSent;
    }

    private void check() {
        double now = loop.now();
        if (!role.isHeld()) {
            leaseHeldSince = Double.POSITIVE_INFINITY;
            reports.clear();
            clearOrders();
        } else {
            if (role.fencingToken() != leaseToken) { // another may have held it between two looks
                leaseToken = role.fencingToken();
                leaseHeldSince = now;
                reports.clear();
                clearOrders();
            }
            leaseHeldSince = Math.min(leaseHeldSince, now);
            if (now >= nextPollAt) {
                nextPollAt = now + POLL_INTERVAL_MS;
                pollReports();
            }
            if (now - leaseHeldSince >= leaseMs + LEASE_MARGIN_MS && policy.isEnabled(Mechanism.STAGE_ORDERS)) {
                servicesWithEngines().forEach(this::change);
            }
        }
        loop.after(CHECK_INTERVAL_MS, this::check);
    }

    private void clearOrders() {
        pending.clear();
        poller.clearStageOverrides();
    }

    private Map<String, List<Endpoint>> servicesWithEngines() {
        Map<String, List<Endpoint>> services = new LinkedHashMap<>();
        for (Endpoint s : poller.newest().endpoints) {
            if (s.stage != null && !s.draining) {
                services.computeIfAbsent(s.service, k -> new ArrayList<>()).add(s);
            }
        }
        return services;
    }

    private void pollReports() {
        List<Endpoint> engines = new ArrayList<>();
        servicesWithEngines().values().forEach(engines::addAll);
        pending.keySet().retainAll(engines.stream().map(e -> e.instanceId).toList());
        client.retainOnly(engines.stream().map(e -> e.address).toList());
        int count = Math.min(engines.size(), MAX_REPORTS_PER_POLL);
        for (int i = 0; i < count; i++) {
            requestReport(engines.get((pollOffset + i) % engines.size()));
        }
        pollOffset = engines.isEmpty() ? 0 : (pollOffset + count) % engines.size();
    }

    private void requestReport(Endpoint server) {
        client.requestReport(server, role::isHeld, (status, body) -> {
            if (status == 200) {
                storeReport(server, body);
            }
        });
    }

    private void storeReport(Endpoint server, byte[] body) {
        try {
            Any report = JsonIterator.deserialize(body);
            StagePlanner.Engine engine = new StagePlanner.Engine(
                    server.instanceId,
                    server.zone,
                    "prefill".equals(report.toString("stage")),
                    report.toBoolean("busy"),
                    report.toInt("queued"),
                    report.toInt("active"),
                    server.slotCount,
                    report.toLong("kv_used"),
                    report.toLong("kv_capacity"));
            reports.put(server.instanceId, new TimedReport(engine, loop.now()));
        } catch (JsonException | ArrayIndexOutOfBoundsException e) {
            LOG.debug("unreadable report server={}", server.instanceId, e);
        }
    }

    private void change(String service, List<Endpoint> servers) {
        double now = loop.now();
        List<StagePlanner.Engine> engines = new ArrayList<>();
        boolean orderInProgress = false; // by a holder before, to a stage that is not known here
        for (Endpoint s : servers) {
            TimedReport report = reports.get(s.instanceId);
            if (report != null && now - report.at() <= REPORT_VALIDITY_MS) {
                StagePlanner.Engine engine = planned(report);
                engines.add(engine);
                orderInProgress |= engine.busy() && !pending.containsKey(s.instanceId);
            }
        }
        boolean known = engines.size() >= MIN_REPORTED_FRACTION * servers.size();
        boolean idle = engines.stream().allMatch(e -> e.queued() + e.active() == 0);
        double pause = idle ? IDLE_ORDER_INTERVAL_MS : ORDER_INTERVAL_MS;
        if (known && !orderInProgress && now - lastOrderAt.getOrDefault(service, Double.NEGATIVE_INFINITY) >= pause) {
            List<StagePlanner.Change> changes = StagePlanner.changes(engines);
            boolean several = policy.isEnabled(Mechanism.SEVERAL_ORDERS);
            boolean waits = !several && engines.stream().anyMatch(StagePlanner.Engine::busy);
            List<StagePlanner.Change> begun = changes.stream()
                    .limit(several ? changes.size() : waits ? 0 : 1)
                    .toList();
            if (!begun.isEmpty()) {
                lastOrderAt.put(service, now);
                announce(servers, begun, idle);
            }
        }
    }

    /** As it reported itself; one that was ordered here to change counts as it will be until it shows. */
    private StagePlanner.Engine planned(TimedReport report) {
        StagePlanner.Engine engine = report.engine();
        PendingOrder order = pending.get(engine.instanceId());
        if (order != null) {
            boolean shown = !engine.busy() && engine.prefill() == order.toPrefill() && report.at() > order.at();
            boolean lapsed = loop.now() - order.at() > ORDER_TIMEOUT_MS;
            if (!shown && !lapsed) {
                return engine.changing(order.toPrefill());
            }
            pending.remove(engine.instanceId());
            if (shown) {
                poller.overrideStage(engine.instanceId(), stage(order.toPrefill()), ORDER_TIMEOUT_MS);
                poller.publishStageOverrides(role.fencingToken());
            }
        }
        return engine;
    }

    /** Data planes hear of it before the servers do, but where nothing runs that could be turned away. */
    private void announce(List<Endpoint> servers, List<StagePlanner.Change> changes, boolean idle) {
        long number = role.fencingToken();
        for (StagePlanner.Change change : changes) {
            pending.put(change.instanceId(), new PendingOrder(change.toPrefill(), loop.now()));
            poller.overrideStage(change.instanceId(), Endpoint.CHANGING, ORDER_TIMEOUT_MS);
        }
        poller.publishStageOverrides(number);
        loop.after(idle ? 0 : ANNOUNCEMENT_LEAD_MS, () -> {
            if (role.isHeld(number)) {
                changes.forEach(c -> order(servers, c, number));
            }
        });
    }

    private static String stage(boolean prefill) {
        return prefill ? "prefill" : "decode";
    }

    private void order(List<Endpoint> servers, StagePlanner.Change change, long number) {
        Endpoint server = servers.stream()
                .filter(s -> s.instanceId.equals(change.instanceId()))
                .findFirst()
                .orElseThrow();
        String stage = stage(change.toPrefill());
        String body = "{\"operation\":\"stage\",\"stage\":\"" + stage + "\",\"holder\":" + JsonText.quoted(holder)
                + ",\"fence_number\":" + number + "}";
        ordersSent++;
        LOG.info("stage order sent server={} stage={} token={}", server.instanceId, stage, number);
        client.sendOrder(server, body.getBytes(StandardCharsets.UTF_8), () -> role.isHeld(number), (status, answer) -> {
            if (status != 200 && status != 202) {
                LOG.info("stage order rejected server={} status={}", server.instanceId, status);
                pending.remove(server.instanceId);
                poller.clearStageOverride(server.instanceId);
                reports.remove(server.instanceId);
            }
        });
    }
}
