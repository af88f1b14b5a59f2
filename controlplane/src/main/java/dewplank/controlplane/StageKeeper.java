package dewplank.controlplane;

import com.jsoniter.JsonIterator;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
import dewplank.exchange.ConnectionPool;
import dewplank.exchange.HttpCall;
import dewplank.http.Headers;
import dewplank.http.MessageWriter;
import dewplank.net.EventLoop;
import dewplank.net.Wheel;
import java.io.ByteArrayOutputStream;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import dewplank.message.ServerEntry;
import dewplank.duty.StagePlan;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Keeps the stages of model servers what they should be: the holder of the duty asks them for their state and orders
 * changes, one at a time for each service. A new holder waits until no order of its predecessor can arrive any more.
 */
final class StageKeeper {
    private static final Logger LOG = LoggerFactory.getLogger(StageKeeper.class);
    /** Whoever else has the address by now answers 421, and neither reports for it nor takes its orders. */
    private static final String TARGET_INSTANCE = "X-Dewplank-Target-Instance";
    private static final double LOOK_EVERY_MS = 250;
    private static final double ASK_EVERY_MS = 1_200;
    private static final int MOST_ASKED_AT_ONCE = 32;        // by turns beyond that: reports are priced, and cost time
    private static final double CALL_TIMEOUT_MS = 600;
    private static final double CONNECT_TIMEOUT_MS = 300;
    private static final double REPORT_FRESH_MS = 3_000;
    private static final double ORDER_EVERY_MS = 2_500;      // a change takes a second or two to show
    private static final double IDLE_ORDER_EVERY_MS = 300;   // while nothing runs anywhere
    private static final double SPARE_MS = 500;              // beyond the lease that the operators' rules name

    private record Reported(StagePlan.Engine engine, double at) { }

    private final EventLoop loop;
    private final String holder;
    private final double leaseMs;
    private final ServerLister lister;
    private final ServerLister.Duty duty;
    private final Map<String, Reported> reports = new HashMap<>();
    private final Map<String, Double> orderedAt = new HashMap<>();
    private final Map<String, ConnectionPool> pools = new HashMap<>();
    private double heldSince = Double.POSITIVE_INFINITY;
    private double askAt;
    private int turn;
    private long orders;

    StageKeeper(EventLoop loop, String holder, double leaseMs, ServerLister lister, ServerLister.Duty duty) {
        this.loop = loop;
        this.holder = holder;
        this.leaseMs = leaseMs;
        this.lister = lister;
        this.duty = duty;
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
        } else {
            heldSince = Math.min(heldSince, now);
            if (now >= askAt) {
                askAt = now + ASK_EVERY_MS;
                askAll();
            }
            if (now - heldSince >= leaseMs + SPARE_MS) {
                servicesWithEngines().forEach(this::change);
            }
        }
        loop.after(LOOK_EVERY_MS, this::look);
    }

    private Map<String, List<ServerEntry>> servicesWithEngines() {
        Map<String, List<ServerEntry>> services = new LinkedHashMap<>();
        for (ServerEntry s : lister.newest().servers) {
            if (s.stage != null && !s.draining) {
                services.computeIfAbsent(s.service, k -> new ArrayList<>()).add(s);
            }
        }
        return services;
    }

    private void askAll() {
        List<ServerEntry> engines = new ArrayList<>();
        servicesWithEngines().values().forEach(engines::addAll);
        pools.keySet().removeIf(a -> engines.stream().noneMatch(e -> e.address.equals(a)));
        int count = Math.min(engines.size(), MOST_ASKED_AT_ONCE);
        for (int i = 0; i < count; i++) {
            ask(engines.get((turn + i) % engines.size()));
        }
        turn = engines.isEmpty() ? 0 : (turn + count) % engines.size();
    }

    private void ask(ServerEntry server) {
        ByteBuffer message = MessageWriter.request("GET", "/report", server.address)
            .header(TARGET_INSTANCE, server.instanceId).noBody();
        call(server, message, (status, body) -> {
            if (status == 200) {
                learn(server, body);
            }
        });
    }

    private void learn(ServerEntry server, byte[] body) {
        try {
            Any report = JsonIterator.deserialize(body);
            StagePlan.Engine engine = new StagePlan.Engine(server.instanceId, server.zone,
                "prefill".equals(report.toString("stage")), report.toBoolean("busy"), report.toInt("queued"),
                report.toInt("active"), server.slotCount, report.toLong("kv_used"), report.toLong("kv_capacity"));
            reports.put(server.instanceId, new Reported(engine, loop.now()));
        } catch (JsonException | ArrayIndexOutOfBoundsException e) {
            LOG.debug("a report of {} can't be read", server.instanceId, e);
        }
    }

    private void change(String service, List<ServerEntry> servers) {
        double now = loop.now();
        List<StagePlan.Engine> engines = new ArrayList<>();
        for (ServerEntry s : servers) {
            Reported reported = reports.get(s.instanceId);
            if (reported != null && now - reported.at() <= REPORT_FRESH_MS) {
                engines.add(reported.engine());
            }
        }
        boolean known = 2 * engines.size() > servers.size();
        boolean idle = engines.stream().allMatch(e -> e.queued() + e.active() == 0);
        double pause = idle ? IDLE_ORDER_EVERY_MS : ORDER_EVERY_MS;
        if (known && now - orderedAt.getOrDefault(service, Double.NEGATIVE_INFINITY) >= pause) {
            StagePlan.next(engines).ifPresent(c -> order(service, servers, c));
        }
    }

    private void order(String service, List<ServerEntry> servers, StagePlan.Change change) {
        ServerEntry server = servers.stream().filter(s -> s.instanceId.equals(change.instanceId())).findFirst()
            .orElseThrow();
        String stage = change.toPrefill() ? "prefill" : "decode";
        long number = duty.fencingNumber();
        String body = "{\"operation\":\"stage\",\"stage\":\"" + stage + "\",\"holder\":" + JsonText.quoted(holder)
            + ",\"fence_number\":" + number + "}";
        ByteBuffer message = MessageWriter.request("POST", "/order", server.address)
            .header("Content-Type", "application/json")
            .header(TARGET_INSTANCE, server.instanceId)
            .body(body.getBytes(StandardCharsets.UTF_8));
        orderedAt.put(service, loop.now());
        orders++;
        LOG.info("server {} is ordered to {} under number {}", server.instanceId, stage, number);
        reports.computeIfPresent(server.instanceId, (id, r) -> new Reported(ordered(r.engine(), change.toPrefill()),
            r.at()));
        call(server, message, (status, answer) -> {
            if (status != 200 && status != 202) {
                LOG.info("server {} answers {} to an order", server.instanceId, status);
                reports.remove(server.instanceId);
            }
        });
    }

    /** As it will be: the next report tells. */
    private static StagePlan.Engine ordered(StagePlan.Engine e, boolean prefill) {
        return new StagePlan.Engine(e.instanceId(), e.zone(), prefill, false, e.queued(), e.active(), e.slotCount(),
            e.memoryUsed(), e.memoryCapacity());
    }

    private interface Answer {
        void taken(int status, byte[] body);
    }

    private void call(ServerEntry server, ByteBuffer message, Answer answer) {
        InetSocketAddress to = ControlPlane.socketAddress(server.address);
        ConnectionPool pool = pools.computeIfAbsent(server.address, a -> new ConnectionPool(loop, 0, 5_000));
        WholeAnswer whole = new WholeAnswer(answer);
        HttpCall call = new HttpCall(loop, to, pool, message, whole).onlyIf(duty::holds);
        whole.timeout = loop.after(CALL_TIMEOUT_MS, call::cancel);
        call.start(CONNECT_TIMEOUT_MS);
    }

    private static final class WholeAnswer implements HttpCall.Listener {
        private final Answer then;
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private Wheel.Timer timeout;
        private int status;

        WholeAnswer(Answer then) {
            this.then = then;
        }

        @Override
        public boolean head(int answerStatus, Headers headers) {
            status = answerStatus;
            return true;
        }

        @Override
        public void body(byte[] piece) {
            body.writeBytes(piece);
        }

        @Override
        public void complete() {
            timeout.cancel();
            then.taken(status, body.toByteArray());
        }

        @Override
        public void failed(HttpCall.Failure failure) {
            timeout.cancel();
        }
    }
}
