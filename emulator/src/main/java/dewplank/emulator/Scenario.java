package dewplank.emulator;

import dewplank.balancer.Settings;
import dewplank.balancer.Settings.DeduplicationScope;
import dewplank.balancer.Settings.Goal;
import dewplank.balancer.Settings.Idempotency;
import dewplank.balancer.Settings.Limits;
import dewplank.balancer.Settings.Prices;
import dewplank.balancer.Settings.RequestClass;
import dewplank.balancer.Settings.Safety;
import dewplank.balancer.Settings.Tenant;
import java.util.List;
import java.util.stream.IntStream;

/** One world and what happens in it, as a scenario file says. All times in milliseconds. */
public record Scenario(
        String name,
        double lengthMs,
        double tickMs,
        int sidecars,
        List<String> zones,
        Servers servers,
        Network network,
        ConnectionModel links,
        Directory directory,
        Reports reports,
        Load load,
        ClientBehaviour clients,
        List<RequestKind> classes,
        Rules rules,
        TenantsAndKeys subjects,
        Messages messages,
        List<Fault> faults) {

    /** Distributions of drawn times. */
    public enum Distribution {
        FIXED,
        EXP,
        LOGNORMAL,
        GAMMA
    }

    /** Shapes of the load over time. */
    public enum Shape {
        STEADY,
        WAVE,
        BURSTS
    }

    /** Kinds of faults, named as in scenario files. */
    public enum FaultKind {
        CRASH,
        VANISH,
        SLOW,
        NEIGHBOUR,
        PAUSE,
        DEPLOY,
        CLASS_ERRORS,
        POISON,
        LOST_ANSWERS,
        RESETS,
        CUT,
        LOSS,
        LOAD,
        DIRECTORY_DOWN,
        DIRECTORY_SILENT,
        SIDECAR_KILL,
        ZONE_LOSS,
        ERRORS,
        TENANT_LOAD
    }

    /** The servers: how many, how many share a failure cell, and their machine types. */
    public record Servers(int count, int cellSize, List<MachineType> machines) {}

    /**
     * A type of machine that servers run on.
     *
     * @param speed       work done by a core in a millisecond
     * @param speedSpread coefficient of variation of the speed from server to server
     * @param pauseEveryMs mean time between pauses, such as a collector's; 0 for none
     */
    public record MachineType(
            String name,
            double share,
            int cores,
            double speed,
            double speedSpread,
            double slotsPerCore,
            double queuePerCore,
            double coldSpeedFactor,
            double warmUpMs,
            double pauseEveryMs,
            double pauseMs,
            double errorRate,
            OverloadSlowdown overloadSlowdown) {}

    /**
     * A server that holds more than {@code at} requests a core for {@code overMs} turns slower by the factor
     * {@code slower}, until it has held fewer than {@code below} of that for {@code restMs}, or for {@code mostMs}.
     */
    public record OverloadSlowdown(
            double maxRequestsPerCore,
            double triggerMs,
            double factor,
            double recoveryMs,
            double recoveryFactor,
            double maxMs) {}

    /** One-way delays within a zone, across zones and to clients, and their jitter. */
    public record Network(double sameMs, double crossMs, double clientMs, double jitter) {}

    /** Connections to servers. {@code cap} 0: any number; {@code notice}: whether an idle close is seen. */
    public record ConnectionModel(
            double handshakeMs,
            double handshakeWork,
            double idleMs,
            boolean closeIsNoticed,
            int maxConnections,
            double fullTableSlowdown,
            double connectTimeoutMs) {}

    /** The directory: how late it notices and says things, and how much it can say. */
    public record Directory(
            double noticeMs,
            double silentNoticeMs,
            double addMs,
            double periodMs,
            double callsPerS,
            double timeoutMs) {}

    /** Load reports of servers: whether they give any, how often they refresh, how noisy they are. */
    public record Reports(boolean enabled, double periodMs, double noise) {}

    /** {@code share}: of what all servers can do when warm; 0 where {@code perS} is given. */
    public record Load(double share, double requestsPerSecond, Shape shape, double swing, double periodMs) {}

    /**
     * How clients behave.
     *
     * @param attemptDeadlineShare the part of a class's deadline that an attempt may take
     * @param honourRetryAfterShare the part of clients that follow Retry-After
     * @param abandonShare the part of attempts abandoned half way
     */
    public record ClientBehaviour(
            int retries,
            double attemptDeadlineShare,
            double waitMs,
            double honourRetryAfterShare,
            double abandonShare,
            boolean marksRetries) {}

    /** {@code waitMs}: mean time that it waits on others after its work, holding a slot and no core. */
    public record RequestKind(
            String name,
            double share,
            double work,
            Distribution distribution,
            double cv,
            double waitMs,
            double targetLatencyMs,
            double deadlineMs,
            double value,
            Idempotency idempotency,
            DeduplicationScope scope,
            double windowMs) {}

    /**
     * A tenant and its load.
     *
     * @param share of the service that is the tenant's
     * @param usage how much of its share it asks for, 1 for just that
     */
    public record TenantLoad(String name, double share, double usage) {}

    /**
     * What requests may be about. {@code count} 0: no keys.
     *
     * @param zipf    exponent of the keys' popularity
     * @param gain    the part of the work that a server which knows the key is spared
     * @param freshMs how long a server knows a key that it met
     * @param perCore how many keys a server remembers for each core
     */
    public record Keys(int count, double zipf, double savedWorkShare, double cacheMs, double maxKeysPerCore) {}

    /** {@code quota}: what all tenants' shares add up to, of what the servers can do when warm. */
    public record TenantsAndKeys(List<TenantLoad> tenants, double overShareValueFactor, double quota, Keys keys) {}

    /** Datagrams between sidecars: whether there are any, how long they take, and the part that is lost. */
    public record Messages(boolean enabled, double minMs, double maxMs, double lossRate) {}

    /** The rules of the deployment that the auditor checks. */
    public record Rules(
            double answerSlackMs,
            double drainMs,
            double collapseFactor,
            double collapseWindowMs,
            double warmUpMs,
            double warmUpInitialShare,
            double maxSendDelayMs,
            int maxAttempts,
            boolean healthChecks,
            boolean hedging,
            boolean retryAdvice,
            double maxAdviceMs) {}

    /**
     * A fault, when it happens and what it hits.
     *
     * @param affectedShare of the servers (or of the sidecars, or of the requests) that it hits
     * @param magnitude how hard, as the kind says: times slower, share taken, times the load, part of the requests
     * @param everyMs rhythm, where the kind has one; of a deploy, how long a server drains
     * @param target class, or tenant where the kind hits one, or null
     */
    public record Fault(
            FaultKind kind,
            double atMs,
            double forMs,
            double affectedShare,
            double magnitude,
            double everyMs,
            String target) {}

    /** The mean work of a request. */
    public double meanWork() {
        double shares = classes.stream().mapToDouble(RequestKind::share).sum();
        return classes.stream().mapToDouble(k -> k.share() / shares * k.work()).sum();
    }

    public double longestDeadlineMs() {
        return classes.stream().mapToDouble(RequestKind::deadlineMs).max().orElse(0);
    }

    public String zoneOfSidecar(int sidecar) {
        return zones.get(sidecar % zones.size());
    }

    public List<String> classNames() {
        return classes.stream().map(RequestKind::name).toList();
    }

    /** What the sidecar with this number is told: the module's settings. */
    public Settings settings(int me) {
        List<RequestClass> kinds = classes.stream()
                .map(k -> new RequestClass(
                        k.name(),
                        k.idempotency(),
                        k.scope(),
                        k.idempotency() == Idempotency.KEYED ? k.windowMs() : 0,
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
                subjects.keys().count() > 0,
                subjects.overShareValueFactor(),
                reports.enabled() ? List.of("rif") : List.of(),
                false,
                kinds,
                tenants(),
                new Limits(
                        rules.maxAttempts(),
                        rules.hedging(),
                        true,
                        rules.healthChecks(),
                        messages.enabled(),
                        rules.retryAdvice(),
                        rules.maxAdviceMs(),
                        links.connectTimeoutMs(),
                        links.idleMs(),
                        1),
                new Safety(
                        rules.maxSendDelayMs(),
                        rules.warmUpMs(),
                        rules.warmUpInitialShare(),
                        rules.collapseFactor(),
                        rules.collapseWindowMs(),
                        false,
                        false),
                new Prices(0.03, 0),
                new Goal(0.8, 0.2, 0, 0));
    }

    private List<Tenant> tenants() {
        double shares =
                subjects.tenants().stream().mapToDouble(TenantLoad::share).sum();
        double perS = 1000 * subjects.quota() * nominalCapacity() / Math.max(1e-9, meanWork());
        return subjects.tenants().stream()
                .map(c -> new Tenant(c.name(), c.share() / shares, perS * c.share() / shares))
                .toList();
    }

    /** Work per millisecond of all servers by their machines' own figures. */
    private double nominalCapacity() {
        double shares =
                servers.machines().stream().mapToDouble(MachineType::share).sum();
        return servers.count()
                * servers.machines().stream()
                        .mapToDouble(m -> m.share() / shares * m.cores() * m.speed())
                        .sum();
    }

    /** What a tenant may ask for in a second and have counted in full. */
    public double allowancePerS(int tenant) {
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
                    new Load(value, 0, load.shape(), load.swing(), load.periodMs()),
                    clients,
                    faults);
            case "load.per_s" -> with(
                    lengthMs,
                    sidecars,
                    servers,
                    new Load(0, value, load.shape(), load.swing(), load.periodMs()),
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
                    links,
                    directory,
                    reports,
                    load,
                    clients,
                    classes,
                    rules,
                    subjects,
                    new Messages(messages.enabled(), messages.minMs(), messages.maxMs(), value),
                    faults);
            case "clients.retries" -> with(
                    lengthMs,
                    sidecars,
                    servers,
                    load,
                    new ClientBehaviour(
                            (int) value,
                            clients.attemptDeadlineShare(),
                            clients.waitMs(),
                            clients.honourRetryAfterShare(),
                            clients.abandonShare(),
                            clients.marksRetries()),
                    faults);
            case "clients.honour" -> with(
                    lengthMs,
                    sidecars,
                    servers,
                    load,
                    new ClientBehaviour(
                            clients.retries(),
                            clients.attemptDeadlineShare(),
                            clients.waitMs(),
                            value,
                            clients.abandonShare(),
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
                                    f.kind(), f.atMs(), f.forMs(), value, f.magnitude(), f.everyMs(), f.target()))
                            .toList());
            case "faults.size" -> with(
                    lengthMs,
                    sidecars,
                    servers,
                    load,
                    clients,
                    faults.stream()
                            .map(f -> new Fault(
                                    f.kind(), f.atMs(), f.forMs(), f.affectedShare(), value, f.everyMs(), f.target()))
                            .toList());
            default -> throw new IllegalArgumentException(
                    "no such parameter: " + path + " (known: sidecars, length_s, "
                            + "servers.count, load.share, load.per_s, messages.lost, clients.retries, clients.honour, faults.part, faults.size)");
        };
    }

    private Scenario with(
            double length, int instances, Servers fleet, Load traffic, ClientBehaviour askers, List<Fault> events) {
        return new Scenario(
                name, length, tickMs, instances, zones, fleet, network, links, directory, reports, traffic, askers,
                classes, rules, subjects, messages, events);
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
                links,
                directory,
                reports,
                load,
                clients,
                classes,
                new Rules(
                        ms,
                        r.drainMs(),
                        r.collapseFactor(),
                        r.collapseWindowMs(),
                        r.warmUpMs(),
                        r.warmUpInitialShare(),
                        r.maxSendDelayMs(),
                        r.maxAttempts(),
                        r.healthChecks(),
                        r.hedging(),
                        r.retryAdvice(),
                        r.maxAdviceMs()),
                subjects,
                messages,
                faults);
    }

    static List<Integer> firstOf(List<Integer> shuffled, double part) {
        int n = (int) Math.ceil(part * shuffled.size() - 1e-9);
        return IntStream.range(0, Math.min(n, shuffled.size()))
                .mapToObj(shuffled::get)
                .toList();
    }
}
