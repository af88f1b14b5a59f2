package dewplank.emulator.scenario;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** The values of a scenario that a command or an experiment can override, by their paths in the scenario file. */
public final class ScenarioOverrides {

    private interface Override {
        ScenarioBuilder apply(ScenarioBuilder builder, Scenario scenario, double value);
    }

    private static final Map<String, Override> BY_PATH = new LinkedHashMap<>();

    static {
        BY_PATH.put("sidecars", (builder, scenario, value) -> builder.sidecars((int) value));
        BY_PATH.put("length_s", (builder, scenario, value) -> builder.lengthMs(value * 1000));
        BY_PATH.put(
                "servers.count",
                (builder, scenario, value) -> builder.servers(scenario.servers().withCount((int) value)));
        BY_PATH.put(
                "load.share",
                (builder, scenario, value) -> builder.load(scenario.load().withUtilization(value)));
        BY_PATH.put(
                "load.per_s",
                (builder, scenario, value) -> builder.load(scenario.load().withRequestsPerSecond(value)));
        BY_PATH.put(
                "messages.lost",
                (builder, scenario, value) ->
                        builder.peerMessages(scenario.peerMessages().withLossRate(value)));
        BY_PATH.put(
                "clients.retries",
                (builder, scenario, value) -> builder.clients(scenario.clients().withMaxRetries((int) value)));
        BY_PATH.put(
                "clients.honour",
                (builder, scenario, value) -> builder.clients(scenario.clients().withHonourRetryAfterFraction(value)));
        BY_PATH.put(
                "faults.part",
                (builder, scenario, value) -> builder.eachFault(fault -> fault.withAffectedFraction(value)));
        BY_PATH.put(
                "faults.size", (builder, scenario, value) -> builder.eachFault(fault -> fault.withMagnitude(value)));
    }

    private ScenarioOverrides() {}

    /** The supported paths, such as {@code load.share}. */
    public static List<String> paths() {
        return List.copyOf(BY_PATH.keySet());
    }

    /** Applies an override; throws an {@link IllegalArgumentException} listing the known paths for any other path. */
    static Scenario apply(Scenario scenario, String path, double value) {
        Override override = BY_PATH.get(path);
        if (override == null) {
            throw new IllegalArgumentException(
                    "no such parameter: " + path + " (known: " + String.join(", ", BY_PATH.keySet()) + ")");
        }
        return override.apply(new ScenarioBuilder(scenario), scenario, value).build();
    }
}
