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
 * Keeps the stages of model servers what they should be: the holder of the duty asks them for their state and orders
 * changes, a few at a time for each service. A new holder waits until no order of its predecessor can arrive any more.
 */
final class StageController {
    private static final Logger LOG = LoggerFactory.getLogger(StageController.class);
    private static final double LOOK_EVERY_MS = 250;
    private static final double ASK_EVERY_MS = 1_200;
    private static final int MOST_ASKED_AT_ONCE = 32; // by turns beyond that: reports are priced, and cost time
    /** Of the servers, those that have to have reported: from a few nothing can be said of the zones of the rest. */
    private static final double KNOWN_SHARE = 0.8;

    /** An order that no report has shown to be done by then was not taken, or its server is gone. */
    private static final double ORDER_SHOWS_MS = 10_000;
    /**
     * Between telling data planes that a server changes and the order: whatever has not begun there when it comes is
     * turned away. A list is in force within a beat (0.3 s) and what was sent until then has begun by then.
     */
    private static final double ANNOUNCED_MS = 500;

    private static final double REPORT_FRESH_MS = 3_000;
    private static final double ORDER_EVERY_MS = 2_500; // a change takes a second or two to show
    private static final double IDLE_ORDER_EVERY_MS = 300; // while nothing runs anywhere
    /**
     * Beyond the lease that the operators' rules name. The last order of a predecessor was written before its lease
     * lapsed, so before the duty was won here, and its call is given up 600 ms later, on its way or not.
     */
    private static final double SPARE_MS = 700;

    private record Reported(StagePlanner.Engine engine, double at) {}

    /** An order that was sent and that no report has shown to be done. */
    private record Pending(boolean toPrefill, double at) {}

    private final Scheduler loop;
    private final String holder;
    private final double leaseMs;
    private final EndpointPoller lister;
    private final EndpointPoller.Duty duty;
    private final ModelServerClient calls;
    private final Policy policy;
    private final Map<String, Reported> reports = new HashMap<>();
    private final Map<String, Pending> pending = new HashMap<>();
    private final Map<String, Double> orderedAt = new HashMap<>();
    private double heldSince = Double.POSITIVE_INFINITY;
    private long heldUnder;
    private double askAt;
    private int turn;
    private long orders;

    StageController(
            Scheduler loop,
            String holder,
            double leaseMs,
            EndpointPoller lister,
            EndpointPoller.Duty duty,
            ModelServerClient calls,
            Policy policy) {
        this.policy = policy;
        this.loop = loop;
        this.holder = holder;
        this.leaseMs = leaseMs;
        this.lister = lister;
        this.duty = duty;
        this.calls = calls;
    }

    void start() {
        look();
    }

    /** Orders sent in this life. */
    long orders() {
        return orders;
    }

    private void look() {
        double now = loop.now();
        if (!duty.holds()) {
            heldSince = Double.POSITIVE_INFINITY;
            reports.clear();
            forgetOrders();
        } else {
            if (duty.fencingNumber() != heldUnder) { // another may have held it between two looks
                heldUnder = duty.fencingNumber();
                heldSince = now;
                reports.clear();
                forgetOrders();
            }
            heldSince = Math.min(heldSince, now);
            if (now >= askAt) {
                askAt = now + ASK_EVERY_MS;
                askAll();
            }
            if (now - heldSince >= leaseMs + SPARE_MS && policy.isEnabled(Mechanism.STAGE_ORDERS)) {
                servicesWithEngines().forEach(this::change);
            }
        }
        loop.after(LOOK_EVERY_MS, this::look);
    }

    private void forgetOrders() {
        pending.clear();
        lister.stagesAreUnknown();
    }

    private Map<String, List<Endpoint>> servicesWithEngines() {
        Map<String, List<Endpoint>> services = new LinkedHashMap<>();
        for (Endpoint s : lister.newest().servers) {
            if (s.stage != null && !s.draining) {
                services.computeIfAbsent(s.service, k -> new ArrayList<>()).add(s);
            }
        }
        return services;
    }

    private void askAll() {
        List<Endpoint> engines = new ArrayList<>();
        servicesWithEngines().values().forEach(engines::addAll);
        pending.keySet().retainAll(engines.stream().map(e -> e.instanceId).toList());
        calls.keep(engines.stream().map(e -> e.address).toList());
        int count = Math.min(engines.size(), MOST_ASKED_AT_ONCE);
        for (int i = 0; i < count; i++) {
            ask(engines.get((turn + i) % engines.size()));
        }
        turn = engines.isEmpty() ? 0 : (turn + count) % engines.size();
    }

    private void ask(Endpoint server) {
        calls.report(server, duty::holds, (status, body) -> {
            if (status == 200) {
                learn(server, body);
            }
        });
    }

    private void learn(Endpoint server, byte[] body) {
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
            reports.put(server.instanceId, new Reported(engine, loop.now()));
        } catch (JsonException | ArrayIndexOutOfBoundsException e) {
            LOG.debug("a report of {} can't be read", server.instanceId, e);
        }
    }

    private void change(String service, List<Endpoint> servers) {
        double now = loop.now();
        List<StagePlanner.Engine> engines = new ArrayList<>();
        boolean ordered = false; // by a holder before, to a stage that is not known here
        for (Endpoint s : servers) {
            Reported reported = reports.get(s.instanceId);
            if (reported != null && now - reported.at() <= REPORT_FRESH_MS) {
                StagePlanner.Engine engine = planned(reported);
                engines.add(engine);
                ordered |= engine.busy() && !pending.containsKey(s.instanceId);
            }
        }
        boolean known = engines.size() >= KNOWN_SHARE * servers.size();
        boolean idle = engines.stream().allMatch(e -> e.queued() + e.active() == 0);
        double pause = idle ? IDLE_ORDER_EVERY_MS : ORDER_EVERY_MS;
        if (known && !ordered && now - orderedAt.getOrDefault(service, Double.NEGATIVE_INFINITY) >= pause) {
            List<StagePlanner.Change> changes = StagePlanner.changes(engines);
            boolean several = policy.isEnabled(Mechanism.SEVERAL_ORDERS);
            boolean waits = !several && engines.stream().anyMatch(StagePlanner.Engine::busy);
            List<StagePlanner.Change> begun = changes.stream()
                    .limit(several ? changes.size() : waits ? 0 : 1)
                    .toList();
            if (!begun.isEmpty()) {
                orderedAt.put(service, now);
                announce(servers, begun, idle);
            }
        }
    }

    /** As it reported itself; one that was ordered here to change counts as it will be until it shows. */
    private StagePlanner.Engine planned(Reported reported) {
        StagePlanner.Engine engine = reported.engine();
        Pending order = pending.get(engine.instanceId());
        if (order != null) {
            boolean shown = !engine.busy() && engine.prefill() == order.toPrefill() && reported.at() > order.at();
            boolean lapsed = loop.now() - order.at() > ORDER_SHOWS_MS;
            if (!shown && !lapsed) {
                return engine.changing(order.toPrefill());
            }
            pending.remove(engine.instanceId());
            if (shown) {
                lister.stageIs(engine.instanceId(), stage(order.toPrefill()), ORDER_SHOWS_MS);
                lister.tellStages(duty.fencingNumber());
            }
        }
        return engine;
    }

    /** Data planes hear of it before the servers do, but where nothing runs that could be turned away. */
    private void announce(List<Endpoint> servers, List<StagePlanner.Change> changes, boolean idle) {
        long number = duty.fencingNumber();
        for (StagePlanner.Change change : changes) {
            pending.put(change.instanceId(), new Pending(change.toPrefill(), loop.now()));
            lister.stageIs(change.instanceId(), Endpoint.CHANGING, ORDER_SHOWS_MS);
        }
        lister.tellStages(number);
        loop.after(idle ? 0 : ANNOUNCED_MS, () -> {
            if (duty.holds(number)) {
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
        orders++;
        LOG.info("server {} is ordered to {} under number {}", server.instanceId, stage, number);
        calls.order(server, body.getBytes(StandardCharsets.UTF_8), () -> duty.holds(number), (status, answer) -> {
            if (status != 200 && status != 202) {
                LOG.info("server {} answers {} to an order", server.instanceId, status);
                pending.remove(server.instanceId);
                lister.stageIsUnknown(server.instanceId);
                reports.remove(server.instanceId);
            }
        });
    }
}
