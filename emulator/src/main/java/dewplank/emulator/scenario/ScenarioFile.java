package dewplank.emulator.scenario;

import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Idempotency;
import dewplank.emulator.scenario.TomlFile.Table;
import dewplank.settings.InvalidInputException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

/** Reads a scenario from TOML. docs/laboratory.md lists the keys. */
public final class ScenarioFile {
    private static final double MAX_DURATION_MS = 3_600_000;
    private static final int MAX_SERVERS = 10_000;
    private static final int MAX_SIDECARS = 10_000;
    private static final int MAX_INHERITANCE_DEPTH = 8;

    private ScenarioFile() {}

    /** The scenarios that come with the laboratory. */
    public static List<String> names() {
        return shipped("index").lines().filter(l -> !l.isBlank()).toList();
    }

    /** A file of that name, or one of the scenarios that come with the laboratory. */
    public static Scenario named(String name) {
        return of(table(name, 0));
    }

    /** With {@code like = NAME} a file says only what differs from another one. */
    private static Table table(String name, int depth) {
        Path file = Path.of(name);
        Table table = Files.isRegularFile(file)
                ? TomlFile.read(file)
                : TomlFile.read(shipped(name + ".toml"), name + ".toml");
        String base = table.text("like", "");
        if (depth > MAX_INHERITANCE_DEPTH) {
            throw table.error("like", "leads in a circle");
        }
        return base.isEmpty() ? table : table.withDefaults(table(base, depth + 1));
    }

    private static String shipped(String name) {
        try (InputStream in = ScenarioFile.class.getResourceAsStream("/scenarios/" + name)) {
            if (in == null) {
                throw new InvalidInputException(
                        "there is no scenario file " + name + ", and none of that name comes with the laboratory");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new InvalidInputException(name + ": cannot be read: " + e.getMessage());
        }
    }

    /** The scenario that a file's top table describes; the table must not hold unknown keys. */
    public static Scenario of(Table t) {
        double lengthMs = 1000 * t.number("length_s", 1, MAX_DURATION_MS / 1000);
        Scenario scenario = new Scenario(
                t.text("name"),
                lengthMs,
                t.number("tick_ms", 0.1, 100, 5),
                t.integer("sidecars", 1, MAX_SIDECARS),
                t.texts("zones", List.of("a", "b")),
                servers(t.table("servers")),
                network(t.table("network")),
                connections(t.table("connections")),
                directory(t.table("directory")),
                loadReports(t.table("reports")),
                load(t.table("load")),
                clients(t.table("clients")),
                t.tables("class").stream().map(ScenarioFile::requestClass).toList(),
                rules(t.table("rules")),
                tenantsAndKeys(t),
                peerMessages(t.table("messages")),
                t.tables("fault").stream().map(f -> fault(f, lengthMs)).toList());
        t.text("about", "");
        t.text("like", "");
        t.rejectUnknownKeys();
        if (scenario.classes().isEmpty()) {
            throw t.error("class", "is missing: at least one is needed");
        }
        for (Fault fault : scenario.faults()) {
            requireTarget(t, scenario, fault);
        }
        return scenario;
    }

    private static void requireTarget(Table t, Scenario scenario, Fault fault) {
        boolean isOfTenant = fault.kind() == FaultKind.TENANT_LOAD;
        List<String> names = isOfTenant
                ? scenario.tenantsAndKeys().tenants().stream()
                        .map(TenantLoad::name)
                        .toList()
                : scenario.classNames();
        fault.target().filter(name -> !names.contains(name)).ifPresent(name -> {
            throw t.error("fault", "names the " + (isOfTenant ? "tenant " : "class ") + name + ", which is not there");
        });
    }

    private static Servers servers(Table t) {
        List<MachineType> machines =
                t.tables("machine").stream().map(ScenarioFile::machine).toList();
        Servers servers = new Servers(
                t.integer("count", 1, MAX_SERVERS),
                t.integer("cell_size", 1, MAX_SERVERS, 5),
                machines.isEmpty() ? List.of(machine(t.table("machine_default"))) : machines);
        t.rejectUnknownKeys();
        return servers;
    }

    private static MachineType machine(Table t) {
        MachineType machine = new MachineType(
                t.text("name", "std-4"),
                t.number("share", 0, 1000, 1),
                t.integer("cores", 1, 256, 4),
                t.number("speed", 0.01, 100, 1),
                t.number("speed_spread", 0, 1, 0),
                t.number("slots_per_core", 1, 1000, 4),
                t.number("queue_per_core", 0, 100_000, 2),
                t.number("cold_share", 0.01, 1, 0.2),
                1000 * t.number("cold_s", 0, 600, 15),
                1000 * t.number("pause_every_s", 0, 3600, 0),
                t.number("pause_ms", 0, 60_000, 0),
                t.number("error_rate", 0, 1, 0),
                overloadSlowdown(t.table("choke")));
        t.rejectUnknownKeys();
        return machine;
    }

    private static OverloadSlowdown overloadSlowdown(Table t) {
        OverloadSlowdown slowdown = new OverloadSlowdown(
                t.number("at", 0, 1000, 0),
                1000 * t.number("over_s", 0, 60, 2),
                t.number("slower", 1, 100, 3),
                1000 * t.number("rest_s", 0, 600, 4),
                t.number("below", 0, 1, 0.3),
                1000 * t.number("most_s", 0, 3600, 20));
        t.rejectUnknownKeys();
        return slowdown;
    }

    private static NetworkModel network(Table t) {
        NetworkModel network = new NetworkModel(
                t.number("same_ms", 0, 1000, 0.25),
                t.number("cross_ms", 0, 1000, 0.6),
                t.number("client_ms", 0, 1000, 0.05),
                t.number("jitter", 0, 10, 0.2));
        t.rejectUnknownKeys();
        return network;
    }

    private static ConnectionModel connections(Table t) {
        ConnectionModel connections = new ConnectionModel(
                t.number("handshake_ms", 0, 1000, 0.5),
                t.number("handshake_work_ms", 0, 1000, 3),
                1000 * t.number("idle_s", 0, 3600, 60),
                t.flag("notice", true),
                t.integer("cap", 0, 1_000_000, 0),
                t.number("full_tax", 0, 0.99, 0),
                t.number("connect_timeout_ms", 0, 60_000, 200));
        t.rejectUnknownKeys();
        return connections;
    }

    private static DirectoryModel directory(Table t) {
        DirectoryModel directory = new DirectoryModel(
                1000 * t.number("notice_s", 0, 600, 2),
                1000 * t.number("silent_notice_s", 0, 600, 8),
                1000 * t.number("add_s", 0, 600, 1),
                t.number("period_ms", 1, 60_000, 500),
                t.number("calls_per_s", 0.1, 1e6, 200),
                t.number("timeout_ms", 1, 60_000, 1000));
        t.rejectUnknownKeys();
        return directory;
    }

    private static LoadReports loadReports(Table t) {
        LoadReports reports = new LoadReports(
                t.flag("given", true), t.number("period_ms", 0, 60_000, 800), t.number("noise", 0, 10, 0.05));
        t.rejectUnknownKeys();
        return reports;
    }

    private static LoadProfile load(Table t) {
        double requestsPerSecond = t.number("per_s", 0, 10_000_000, 0);
        LoadProfile load = new LoadProfile(
                requestsPerSecond > 0 ? 0 : t.number("share", 0, 100),
                requestsPerSecond,
                t.enumValue("shape", LoadShape.class, LoadShape.STEADY),
                t.number("swing", 0, 1, 0.3),
                1000 * t.number("period_s", 0.01, 3600, 20));
        t.rejectUnknownKeys();
        return load;
    }

    private static ClientBehaviour clients(Table t) {
        ClientBehaviour clients = new ClientBehaviour(
                t.integer("retries", 0, 100, 2),
                t.number("try_share", 0.01, 1, 0.55),
                t.number("wait_ms", 0, 60_000, 50),
                t.number("honour", 0, 1, 0.5),
                t.number("impatient", 0, 1, 0),
                t.flag("marks_retry", true));
        t.rejectUnknownKeys();
        return clients;
    }

    private static RequestClassSpec requestClass(Table t) {
        Idempotency idempotency = t.enumValue("effect", Idempotency.class, Idempotency.SAFE);
        double deadlineMs = t.number("deadline_ms", 1, MAX_DURATION_MS);
        RequestClassSpec spec = new RequestClassSpec(
                t.text("name"),
                t.number("share", 0, 1000, 1),
                t.number("work_ms", 0, 60_000),
                t.enumValue("distribution", Distribution.class, Distribution.EXP),
                t.number("cv", 0, 10, 1),
                t.number("waits_ms", 0, 60_000, 0),
                t.number("aim_ms", 1, deadlineMs, deadlineMs),
                deadlineMs,
                t.number("worth", 0, 1e6, 1),
                idempotency,
                t.enumValue("scope", DeduplicationScope.class, DeduplicationScope.ALL),
                t.number("window_ms", 0, MAX_DURATION_MS, 750));
        t.rejectUnknownKeys();
        return spec;
    }

    private static TenantsAndKeys tenantsAndKeys(Table t) {
        List<TenantLoad> tenants =
                t.tables("tenant").stream().map(ScenarioFile::tenant).toList();
        Table table = t.table("subjects");
        KeyModel keys = new KeyModel(
                table.integer("keys", 0, 1_000_000, 0),
                table.number("zipf", 0, 10, 0.7),
                table.number("spared", 0, 1, 0.5),
                1000 * table.number("fresh_s", 0, 3600, 6),
                table.number("per_core", 0, 1e6, 4));
        TenantsAndKeys tenantsAndKeys = new TenantsAndKeys(
                tenants, table.number("over_share_worth", 0, 1, 1), table.number("quota", 0.01, 10, 0.8), keys);
        table.rejectUnknownKeys();
        if (tenants.stream().map(TenantLoad::name).distinct().count() < tenants.size()) {
            throw t.error("tenant", "has one name twice");
        }
        return tenantsAndKeys;
    }

    private static TenantLoad tenant(Table t) {
        TenantLoad tenant =
                new TenantLoad(t.text("name"), t.number("share", 1e-6, 1000), t.number("usage", 0, 1000, 1));
        t.rejectUnknownKeys();
        return tenant;
    }

    private static PeerMessages peerMessages(Table t) {
        double minDelayMs = t.number("least_ms", 0, 60_000, 1.7);
        PeerMessages messages = new PeerMessages(
                t.flag("given", false),
                minDelayMs,
                t.number("most_ms", minDelayMs, 60_000, Math.max(minDelayMs, 11)),
                t.number("lost", 0, 1, 0));
        t.rejectUnknownKeys();
        return messages;
    }

    private static Rules rules(Table t) {
        Rules rules = new Rules(
                t.number("answer_slack_ms", 0, 10_000, 20),
                t.number("drain_ms", 0, 60_000, 500),
                t.number("fall_multiple", 1, 1000, 4),
                1000 * t.number("fall_s", 0.1, 600, 2),
                1000 * t.number("cold_s", 0, 600, 22),
                t.number("cold_share", 0.01, 1, 0.12),
                1000 * t.number("ask_within_s", 1, 600, 10),
                t.integer("max_attempts", 1, 100, 4),
                t.flag("probes", true),
                t.flag("second_copies", true),
                t.flag("retry_advice", true),
                1000 * t.number("max_advice_s", 0, 600, 2));
        t.rejectUnknownKeys();
        return rules;
    }

    private static Fault fault(Table t, double lengthMs) {
        FaultKind kind = t.enumValue("what", FaultKind.class);
        double atMs = 1000 * t.number("at_s", 0, lengthMs / 1000);
        Fault fault = new Fault(
                kind,
                atMs,
                1000
                        * t.number(
                                "for_s",
                                0,
                                MAX_DURATION_MS / 1000,
                                kind == FaultKind.SIDECAR_KILL ? 1.7 : lengthMs / 1000),
                t.number("part", 0, 1, 0.2),
                t.number("size", 0, 1000, defaultMagnitude(kind)),
                1000 * t.number("every_s", 0.01, 3600, kind == FaultKind.DEPLOY ? 4 : 3),
                target(t, kind == FaultKind.TENANT_LOAD ? "tenant" : "class"));
        if (kind == FaultKind.TENANT_LOAD && fault.target().isEmpty()) {
            throw t.error("tenant", "is missing: this fault is one tenant's");
        }
        if (kind == FaultKind.CLASS_ERRORS && fault.target().isEmpty()) {
            throw t.error("class", "is missing: this fault hits one class");
        }
        t.rejectUnknownKeys();
        return fault;
    }

    private static Optional<String> target(Table t, String key) {
        String name = t.text(key, "");
        return name.isEmpty() ? Optional.empty() : Optional.of(name);
    }

    private static double defaultMagnitude(FaultKind kind) {
        return switch (kind) {
            case SLOW -> 5;
            case NEIGHBOUR -> 0.5;
            case DEPLOY -> 0.1;
            case PAUSE -> 500;
            case LOAD, TENANT_LOAD -> 2;
            case POISON, LOST_ANSWERS, RESETS, LOSS -> 0.02;
            default -> 1;
        };
    }
}
