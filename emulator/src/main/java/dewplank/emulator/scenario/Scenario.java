package dewplank.emulator.scenario;

import java.util.List;

/**
 * A deployment, its load, and the faults that happen to it.
 *
 * @param lengthMs for which clients send requests
 * @param tickMs after which a sidecar handles what has come in
 * @param sidecars number of sidecars, each with an application beside it
 * @param zones over which servers and sidecars are spread in turn
 * @param classes of requests; at least one
 */
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

    /** Stands for no work at all, where work divides. */
    private static final double MIN_WORK = 1e-9;

    /** Mean work of a request over all classes. */
    public double meanWork() {
        double weights = classes.stream().mapToDouble(RequestClassSpec::weight).sum();
        return classes.stream()
                .mapToDouble(requestClass -> requestClass.weight() / weights * requestClass.work())
                .sum();
    }

    /** Longest deadline of all classes. */
    public double longestDeadlineMs() {
        return classes.stream().mapToDouble(RequestClassSpec::deadlineMs).max().orElse(0);
    }

    /** Zone of the sidecar with that number. */
    public String zoneOfSidecar(int sidecar) {
        return zones.get(sidecar % zones.size());
    }

    /** Names of the classes, in their order. */
    public List<String> classNames() {
        return classes.stream().map(RequestClassSpec::name).toList();
    }

    /** Requests of a tenant that count with their full value, in a second. */
    public double allowancePerSecond(int tenant) {
        double shares =
                tenantsAndKeys.tenants().stream().mapToDouble(TenantLoad::share).sum();
        double requestsPerSecond = 1000 * tenantsAndKeys.quota() * nominalCapacity() / Math.max(MIN_WORK, meanWork());
        return requestsPerSecond * tenantsAndKeys.tenants().get(tenant).share() / shares;
    }

    /** Work per millisecond of all servers, when warm, without the spread of their speeds. */
    private double nominalCapacity() {
        double weights =
                servers.machines().stream().mapToDouble(MachineType::weight).sum();
        return servers.count()
                * servers.machines().stream()
                        .mapToDouble(machine -> machine.weight() / weights * machine.cores() * machine.speed())
                        .sum();
    }

    /**
     * The same scenario with one figure changed.
     *
     * @param path one of {@link ScenarioOverrides#paths()}
     * @throws IllegalArgumentException if there is no such path
     */
    public Scenario with(String path, double value) {
        return ScenarioOverrides.apply(this, path, value);
    }

    /** The same scenario on sockets, where a response may come a little later. */
    public Scenario withAnswerSlack(double answerSlackMs) {
        return new ScenarioBuilder(this)
                .rules(rules.withAnswerSlackMs(answerSlackMs))
                .build();
    }
}
