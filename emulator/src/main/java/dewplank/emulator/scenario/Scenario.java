package dewplank.emulator.scenario;

import dewplank.balancer.Settings;
import dewplank.balancer.Settings.Goal;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.Limits;
import dewplank.balancer.Settings.Prices;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.Settings.Safety;
import dewplank.balancer.Settings.Tenant;
import java.util.List;

/** One world and what happens in it, as a scenario file says. All times in milliseconds. */
public record Scenario(
        String name,
        double lengthMs,
        double tickMs,
        int sidecars,
        List<String> zones,
        Servers servers,
        NetworkModel network,
        ConnectionModel connections,
        DirectoryModel directory,
        LoadReports loadReports,
        LoadProfile load,
        ClientBehaviour clients,
        List<RequestClassSpec> classes,
        Rules rules,
        TenantsAndKeys tenantsAndKeys,
        PeerMessages peerMessages,
        List<Fault> faults) {

    /** The mean work of a request. */
    public double meanWork() {
        double shares = classes.stream().mapToDouble(RequestClassSpec::weight).sum();
        return classes.stream().mapToDouble(k -> k.weight() / shares * k.work()).sum();
    }

    public double longestDeadlineMs() {
        return classes.stream().mapToDouble(RequestClassSpec::deadlineMs).max().orElse(0);
    }

    public String zoneOfSidecar(int sidecar) {
        return zones.get(sidecar % zones.size());
    }

    public List<String> classNames() {
        return classes.stream().map(RequestClassSpec::name).toList();
    }

    /** What the sidecar with this number is told: the module's settings. */
    public Settings settings(int me) {
        List<RequestClass> kinds = classes.stream()
                .map(k -> new RequestClass(
                        k.name(),
                        k.idempotency(),
                        k.deduplicationScope(),
                        k.idempotency() == Idempotency.KEYED ? k.deduplicationWindowMs() : 0,
                        k.targetLatencyMs(),
                        0,
                        k.deadlineMs(),
                        k.value(),
                        0,
                        false))
                .toList();
        return new Settings(
                me,
                sidecars,
                zoneOfSidecar(me),
                tickMs,
                false,
                false,
                false,
                tenantsAndKeys.keys().count() > 0,
                tenantsAndKeys.overShareValueFactor(),
                loadReports.enabled() ? List.of("rif") : List.of(),
                false,
                kinds,
                tenants(),
                new Limits(
                        rules.maxAttempts(),
                        rules.hedging(),
                        true,
                        rules.healthChecks(),
                        peerMessages.enabled(),
                        rules.retryAdvice(),
                        rules.maxAdviceMs(),
                        connections.connectTimeoutMs(),
                        connections.idleMs(),
                        1),
                new Safety(
                        rules.maxSendDelayMs(),
                        rules.warmUpMs(),
                        rules.warmUpInitialFraction(),
                        rules.collapseFactor(),
                        rules.collapseWindowMs(),
                        false,
                        false),
                new Prices(0.03, 0),
                new Goal(0.8, 0.2, 0, 0));
    }

    private List<Tenant> tenants() {
        double shares =
                tenantsAndKeys.tenants().stream().mapToDouble(TenantLoad::share).sum();
        double perS = 1000 * tenantsAndKeys.quota() * nominalCapacity() / Math.max(1e-9, meanWork());
        return tenantsAndKeys.tenants().stream()
                .map(c -> new Tenant(c.name(), c.share() / shares, perS * c.share() / shares))
                .toList();
    }

    /** Work per millisecond of all servers by their machines' own figures. */
    private double nominalCapacity() {
        double shares =
                servers.machines().stream().mapToDouble(MachineType::weight).sum();
        return servers.count()
                * servers.machines().stream()
                        .mapToDouble(m -> m.weight() / shares * m.cores() * m.speed())
                        .sum();
    }

    /** What a tenant may ask for in a second and have counted in full. */
    public double allowancePerSecond(int tenant) {
        return tenants().get(tenant).allowancePerSecond();
    }

    /** The same scenario with one figure changed; {@code path} as in the file, such as {@code load.share}. */
    public Scenario with(String path, double value) {
        return switch (path) {
            case "sidecars" -> with(lengthMs, (int) value, servers, load, clients, faults);
            case "length_s" -> with(value * 1000, sidecars, servers, load, clients, faults);
            case "servers.count" -> with(
                    lengthMs,
                    sidecars,
                    new Servers((int) value, servers.cellSize(), servers.machines()),
                    load,
                    clients,
                    faults);
            case "load.share" -> with(
                    lengthMs,
                    sidecars,
                    servers,
                    new LoadProfile(value, 0, load.shape(), load.swing(), load.periodMs()),
                    clients,
                    faults);
            case "load.per_s" -> with(
                    lengthMs,
                    sidecars,
                    servers,
                    new LoadProfile(0, value, load.shape(), load.swing(), load.periodMs()),
                    clients,
                    faults);
            case "messages.lost" -> new Scenario(
                    name,
                    lengthMs,
                    tickMs,
                    sidecars,
                    zones,
                    servers,
                    network,
                    connections,
                    directory,
                    loadReports,
                    load,
                    clients,
                    classes,
                    rules,
                    tenantsAndKeys,
                    new PeerMessages(
                            peerMessages.enabled(), peerMessages.minDelayMs(), peerMessages.maxDelayMs(), value),
                    faults);
            case "clients.retries" -> with(
                    lengthMs,
                    sidecars,
                    servers,
                    load,
                    new ClientBehaviour(
                            (int) value,
                            clients.attemptDeadlineFraction(),
                            clients.backoffMs(),
                            clients.honourRetryAfterFraction(),
                            clients.abandonFraction(),
                            clients.marksRetries()),
                    faults);
            case "clients.honour" -> with(
                    lengthMs,
                    sidecars,
                    servers,
                    load,
                    new ClientBehaviour(
                            clients.maxRetries(),
                            clients.attemptDeadlineFraction(),
                            clients.backoffMs(),
                            value,
                            clients.abandonFraction(),
                            clients.marksRetries()),
                    faults);
            case "faults.part" -> with(
                    lengthMs,
                    sidecars,
                    servers,
                    load,
                    clients,
                    faults.stream()
                            .map(f -> new Fault(
                                    f.kind(),
                                    f.atMs(),
                                    f.durationMs(),
                                    value,
                                    f.magnitude(),
                                    f.intervalMs(),
                                    f.target()))
                            .toList());
            case "faults.size" -> with(
                    lengthMs,
                    sidecars,
                    servers,
                    load,
                    clients,
                    faults.stream()
                            .map(f -> new Fault(
                                    f.kind(),
                                    f.atMs(),
                                    f.durationMs(),
                                    f.affectedFraction(),
                                    value,
                                    f.intervalMs(),
                                    f.target()))
                            .toList());
            default -> throw new IllegalArgumentException(
                    "no such parameter: " + path + " (known: sidecars, length_s, "
                            + "servers.count, load.share, load.per_s, messages.lost, clients.retries, clients.honour, faults.part, faults.size)");
        };
    }

    private Scenario with(
            double length,
            int instances,
            Servers fleet,
            LoadProfile traffic,
            ClientBehaviour askers,
            List<Fault> events) {
        return new Scenario(
                name,
                length,
                tickMs,
                instances,
                zones,
                fleet,
                network,
                connections,
                directory,
                loadReports,
                traffic,
                askers,
                classes,
                rules,
                tenantsAndKeys,
                peerMessages,
                events);
    }

    /** The same on sockets, where an answer may come a little later. */
    public Scenario withAnswerSlack(double ms) {
        Rules r = rules;
        return new Scenario(
                name,
                lengthMs,
                tickMs,
                sidecars,
                zones,
                servers,
                network,
                connections,
                directory,
                loadReports,
                load,
                clients,
                classes,
                new Rules(
                        ms,
                        r.drainMs(),
                        r.collapseFactor(),
                        r.collapseWindowMs(),
                        r.warmUpMs(),
                        r.warmUpInitialFraction(),
                        r.maxSendDelayMs(),
                        r.maxAttempts(),
                        r.healthChecks(),
                        r.hedging(),
                        r.retryAdvice(),
                        r.maxAdviceMs()),
                tenantsAndKeys,
                peerMessages,
                faults);
    }
}
