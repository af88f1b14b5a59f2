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

    /** Names of the scenarios that are included in the laboratory. */
    public static List<String> names() {
        return readResource("index").lines().filter(line -> !line.isBlank()).toList();
    }

    /** Reads the file with the given name, or an included scenario if there is no such file. */
    public static Scenario named(String name) {
        return of(table(name, 0));
    }

    /** Reads a table; a file with {@code like = NAME} inherits the values that it does not set from that scenario. */
    private static Table table(String name, int depth) {
        Path file = Path.of(name);
        Table table = Files.isRegularFile(file)
                ? TomlFile.read(file)
                : TomlFile.read(readResource(name + ".toml"), name + ".toml");
        String base = table.text("like", "");
        if (depth > MAX_INHERITANCE_DEPTH) {
            throw table.error("like", "has a circular reference");
        }
        return base.isEmpty() ? table : table.withDefaults(table(base, depth + 1));
    }

    private static String readResource(String name) {
        try (InputStream in = ScenarioFile.class.getResourceAsStream("/scenarios/" + name)) {
            if (in == null) {
                throw new InvalidInputException(
                        "scenario file " + name + " does not exist, and the laboratory includes none of that name");
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new InvalidInputException(name + ": cannot be read: " + e.getMessage());
        }
    }

    /** Creates the scenario described by a file's top-level table; the table must not contain unknown keys. */
    public static Scenario of(Table table) {
        double lengthMs = 1000 * table.number("length_s", 1, MAX_DURATION_MS / 1000);
        Scenario scenario = new Scenario(
                table.text("name"),
                lengthMs,
                table.number("tick_ms", 0.1, 100, 5),
                table.integer("sidecars", 1, MAX_SIDECARS),
                table.texts("zones", List.of("a", "b")),
                servers(table.table("servers")),
                network(table.table("network")),
                connections(table.table("connections")),
                directory(table.table("directory")),
                loadReports(table.table("reports")),
                load(table.table("load")),
                clients(table.table("clients")),
                table.tables("class").stream().map(ScenarioFile::requestClass).toList(),
                rules(table.table("rules")),
                tenantsAndKeys(table),
                peerMessages(table.table("messages")),
                table.tables("fault").stream()
                        .map(entry -> fault(entry, lengthMs))
                        .toList());
        table.text("about", "");
        table.text("like", "");
        table.rejectUnknownKeys();
        if (scenario.classes().isEmpty()) {
            throw table.error("class", "is missing: at least one is needed");
        }
        for (Fault fault : scenario.faults()) {
            requireTarget(table, scenario, fault);
        }
        return scenario;
    }

    private static void requireTarget(Table table, Scenario scenario, Fault fault) {
        boolean isOfTenant = fault.kind() == FaultKind.TENANT_LOAD;
        List<String> names = isOfTenant
                ? scenario.tenantsAndKeys().tenants().stream()
                        .map(TenantLoad::name)
                        .toList()
                : scenario.classNames();
        fault.target().filter(name -> !names.contains(name)).ifPresent(name -> {
            throw table.error(
                    "fault", "names the " + (isOfTenant ? "tenant " : "class ") + name + ", which is not defined");
        });
    }

    private static Servers servers(Table table) {
        List<MachineType> machines =
                table.tables("machine").stream().map(ScenarioFile::machine).toList();
        Servers servers = new Servers(
                table.integer("count", 1, MAX_SERVERS),
                table.integer("cell_size", 1, MAX_SERVERS, 5),
                machines.isEmpty() ? List.of(machine(table.table("machine_default"))) : machines);
        table.rejectUnknownKeys();
        return servers;
    }

    private static MachineType machine(Table table) {
        MachineType machine = new MachineType(
                table.text("name", "std-4"),
                table.number("share", 0, 1000, 1),
                table.integer("cores", 1, 256, 4),
                table.number("speed", 0.01, 100, 1),
                table.number("speed_spread", 0, 1, 0),
                table.number("slots_per_core", 1, 1000, 4),
                table.number("queue_per_core", 0, 100_000, 2),
                table.number("cold_share", 0.01, 1, 0.2),
                1000 * table.number("cold_s", 0, 600, 15),
                1000 * table.number("pause_every_s", 0, 3600, 0),
                table.number("pause_ms", 0, 60_000, 0),
                table.number("error_rate", 0, 1, 0),
                overloadSlowdown(table.table("choke")));
        table.rejectUnknownKeys();
        return machine;
    }

    private static OverloadSlowdown overloadSlowdown(Table table) {
        OverloadSlowdown slowdown = new OverloadSlowdown(
                table.number("at", 0, 1000, 0),
                1000 * table.number("over_s", 0, 60, 2),
                table.number("slower", 1, 100, 3),
                1000 * table.number("rest_s", 0, 600, 4),
                table.number("below", 0, 1, 0.3),
                1000 * table.number("most_s", 0, 3600, 20));
        table.rejectUnknownKeys();
        return slowdown;
    }

    private static NetworkModel network(Table table) {
        NetworkModel network = new NetworkModel(
                table.number("same_ms", 0, 1000, 0.25),
                table.number("cross_ms", 0, 1000, 0.6),
                table.number("client_ms", 0, 1000, 0.05),
                table.number("jitter", 0, 10, 0.2));
        table.rejectUnknownKeys();
        return network;
    }

    private static ConnectionModel connections(Table table) {
        ConnectionModel connections = new ConnectionModel(
                table.number("handshake_ms", 0, 1000, 0.5),
                table.number("handshake_work_ms", 0, 1000, 3),
                1000 * table.number("idle_s", 0, 3600, 60),
                table.flag("notice", true),
                table.integer("cap", 0, 1_000_000, 0),
                table.number("full_tax", 0, 0.99, 0),
                table.number("connect_timeout_ms", 0, 60_000, 200));
        table.rejectUnknownKeys();
        return connections;
    }

    private static DirectoryModel directory(Table table) {
        DirectoryModel directory = new DirectoryModel(
                1000 * table.number("notice_s", 0, 600, 2),
                1000 * table.number("silent_notice_s", 0, 600, 8),
                1000 * table.number("add_s", 0, 600, 1),
                table.number("period_ms", 1, 60_000, 500),
                table.number("calls_per_s", 0.1, 1e6, 200),
                table.number("timeout_ms", 1, 60_000, 1000));
        table.rejectUnknownKeys();
        return directory;
    }

    private static LoadReports loadReports(Table table) {
        LoadReports reports = new LoadReports(
                table.flag("given", true),
                table.number("period_ms", 0, 60_000, 800),
                table.number("noise", 0, 10, 0.05));
        table.rejectUnknownKeys();
        return reports;
    }

    private static LoadProfile load(Table table) {
        double requestsPerSecond = table.number("per_s", 0, 10_000_000, 0);
        LoadProfile load = new LoadProfile(
                requestsPerSecond > 0 ? 0 : table.number("share", 0, 100),
                requestsPerSecond,
                table.enumValue("shape", LoadShape.class, LoadShape.STEADY),
                table.number("swing", 0, 1, 0.3),
                1000 * table.number("period_s", 0.01, 3600, 20));
        table.rejectUnknownKeys();
        return load;
    }

    private static ClientBehaviour clients(Table table) {
        ClientBehaviour clients = new ClientBehaviour(
                table.integer("retries", 0, 100, 2),
                table.number("try_share", 0.01, 1, 0.55),
                table.number("wait_ms", 0, 60_000, 50),
                table.number("honour", 0, 1, 0.5),
                table.number("impatient", 0, 1, 0),
                table.flag("marks_retry", true));
        table.rejectUnknownKeys();
        return clients;
    }

    private static RequestClassSpec requestClass(Table table) {
        Idempotency idempotency = table.enumValue("effect", Idempotency.class, Idempotency.SAFE);
        double deadlineMs = table.number("deadline_ms", 1, MAX_DURATION_MS);
        RequestClassSpec spec = new RequestClassSpec(
                table.text("name"),
                table.number("share", 0, 1000, 1),
                table.number("work_ms", 0, 60_000),
                table.enumValue("distribution", Distribution.class, Distribution.EXP),
                table.number("cv", 0, 10, 1),
                table.number("waits_ms", 0, 60_000, 0),
                table.number("aim_ms", 1, deadlineMs, deadlineMs),
                deadlineMs,
                table.number("worth", 0, 1e6, 1),
                idempotency,
                table.enumValue("scope", DeduplicationScope.class, DeduplicationScope.ALL),
                table.number("window_ms", 0, MAX_DURATION_MS, 750));
        table.rejectUnknownKeys();
        return spec;
    }

    private static TenantsAndKeys tenantsAndKeys(Table table) {
        List<TenantLoad> tenants =
                table.tables("tenant").stream().map(ScenarioFile::tenant).toList();
        Table subjects = table.table("subjects");
        KeyModel keys = new KeyModel(
                subjects.integer("keys", 0, 1_000_000, 0),
                subjects.number("zipf", 0, 10, 0.7),
                subjects.number("spared", 0, 1, 0.5),
                1000 * subjects.number("fresh_s", 0, 3600, 6),
                subjects.number("per_core", 0, 1e6, 4));
        TenantsAndKeys tenantsAndKeys = new TenantsAndKeys(
                tenants, subjects.number("over_share_worth", 0, 1, 1), subjects.number("quota", 0.01, 10, 0.8), keys);
        subjects.rejectUnknownKeys();
        if (tenants.stream().map(TenantLoad::name).distinct().count() < tenants.size()) {
            throw table.error("tenant", "has a duplicate name");
        }
        return tenantsAndKeys;
    }

    private static TenantLoad tenant(Table table) {
        TenantLoad tenant = new TenantLoad(
                table.text("name"), table.number("share", 1e-6, 1000), table.number("usage", 0, 1000, 1));
        table.rejectUnknownKeys();
        return tenant;
    }

    private static PeerMessages peerMessages(Table table) {
        double minDelayMs = table.number("least_ms", 0, 60_000, 1.7);
        PeerMessages messages = new PeerMessages(
                table.flag("given", false),
                minDelayMs,
                table.number("most_ms", minDelayMs, 60_000, Math.max(minDelayMs, 11)),
                table.number("lost", 0, 1, 0));
        table.rejectUnknownKeys();
        return messages;
    }

    private static Rules rules(Table table) {
        Rules rules = new Rules(
                table.number("answer_slack_ms", 0, 10_000, 20),
                table.number("drain_ms", 0, 60_000, 500),
                table.number("fall_multiple", 1, 1000, 4),
                1000 * table.number("fall_s", 0.1, 600, 2),
                1000 * table.number("cold_s", 0, 600, 22),
                table.number("cold_share", 0.01, 1, 0.12),
                1000 * table.number("ask_within_s", 1, 600, 10),
                table.integer("max_attempts", 1, 100, 4),
                table.flag("probes", true),
                table.flag("second_copies", true),
                table.flag("retry_advice", true),
                1000 * table.number("max_advice_s", 0, 600, 2));
        table.rejectUnknownKeys();
        return rules;
    }

    private static Fault fault(Table table, double lengthMs) {
        FaultKind kind = table.enumValue("what", FaultKind.class);
        double atMs = 1000 * table.number("at_s", 0, lengthMs / 1000);
        Fault fault = new Fault(
                kind,
                atMs,
                1000
                        * table.number(
                                "for_s",
                                0,
                                MAX_DURATION_MS / 1000,
                                kind == FaultKind.SIDECAR_KILL ? 1.7 : lengthMs / 1000),
                table.number("part", 0, 1, 0.2),
                table.number("size", 0, 1000, defaultMagnitude(kind)),
                1000 * table.number("every_s", 0.01, 3600, kind == FaultKind.DEPLOY ? 4 : 3),
                target(table, kind == FaultKind.TENANT_LOAD ? "tenant" : "class"));
        if (kind == FaultKind.TENANT_LOAD && fault.target().isEmpty()) {
            throw table.error("tenant", "is missing: this kind of fault affects one tenant");
        }
        if (kind == FaultKind.CLASS_ERRORS && fault.target().isEmpty()) {
            throw table.error("class", "is missing: this kind of fault affects one class");
        }
        table.rejectUnknownKeys();
        return fault;
    }

    private static Optional<String> target(Table table, String key) {
        String name = table.text(key, "");
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
