package dewplank.emulator.scenario;

import java.util.List;

/**
 * A deployment, its load, and the faults that are injected into it.
 *
 * @param lengthMs time for which clients send requests
 * @param tickMs interval at which a sidecar handles the events that have arrived
 * @param sidecars number of sidecars; each has its own client application
 * @param zones zones to which servers and sidecars are assigned in turn
 * @param classes request classes; at least one
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

    /** Lower bound of work used as a divisor, to avoid a division by zero. */
    private static final double MIN_WORK = 1e-9;

    /** Mean work of a request over all classes. */
    public double meanWork() {
        double totalWeight =
                classes.stream().mapToDouble(RequestClassSpec::weight).sum();
        return classes.stream()
                .mapToDouble(requestClass -> requestClass.weight() / totalWeight * requestClass.work())
                .sum();
    }

    /** Longest deadline of all classes. */
    public double longestDeadlineMs() {
        return classes.stream().mapToDouble(RequestClassSpec::deadlineMs).max().orElse(0);
    }

    /** Zone of the sidecar with the given number. */
    public String zoneOfSidecar(int sidecar) {
        return zones.get(sidecar % zones.size());
    }

    /** Names of the classes, in order. */
    public List<String> classNames() {
        return classes.stream().map(RequestClassSpec::name).toList();
    }

    /** Requests per second of a tenant that have their full value. */
    public double allowancePerSecond(int tenant) {
        double totalShare =
                tenantsAndKeys.tenants().stream().mapToDouble(TenantLoad::share).sum();
        double requestsPerSecond = 1000 * tenantsAndKeys.quota() * nominalCapacity() / Math.max(MIN_WORK, meanWork());
        return requestsPerSecond * tenantsAndKeys.tenants().get(tenant).share() / totalShare;
    }

    /** Work per millisecond that all servers complete when warm, ignoring the spread of their speeds. */
    private double nominalCapacity() {
        double totalWeight =
                servers.machines().stream().mapToDouble(MachineType::weight).sum();
        return servers.count()
                * servers.machines().stream()
                        .mapToDouble(machine -> machine.weight() / totalWeight * machine.cores() * machine.speed())
                        .sum();
    }

    /**
     * Returns a copy of the scenario with one value changed.
     *
     * @param path one of {@link ScenarioOverrides#paths()}
     * @throws IllegalArgumentException if the path is unknown
     */
    public Scenario with(String path, double value) {
        return ScenarioOverrides.apply(this, path, value);
    }

    /** Returns a copy with the given response slack; on sockets, responses may be slightly later. */
    public Scenario withResponseSlack(double responseSlackMs) {
        return new ScenarioBuilder(this)
                .rules(rules.withResponseSlackMs(responseSlackMs))
                .build();
    }
}
