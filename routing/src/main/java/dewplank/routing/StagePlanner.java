package dewplank.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Plans which model servers of a service change between prefill and decode. Long prompts wait for prefill servers,
 * whereas one decode server runs many streams at once, so no more servers decode than the streams need. Pure function:
 * the control plane that holds the lease of the role {@code list} calls it on its event loop with the newest reports.
 */
public final class StagePlanner {
    private static final RoutingParameters.StagePlanning PLANNING = RoutingParameters.DEFAULTS.stagePlanning();

    /**
     * The state of a model server according to its report.
     *
     * @param instanceId its id
     * @param zone the name of its zone
     * @param isPrefill whether it prefills, or will prefill after the current change; otherwise it decodes
     * @param isChanging whether it is changing its stage
     * @param queuedRequests the number of waiting requests
     * @param activeRequests the number of running requests
     * @param slotCount the number of requests that can run at once
     * @param memoryUsed the used part of its KV cache, in the unit of the capacity
     * @param memoryCapacity the capacity of its KV cache; 0 if it reports none
     */
    public record ModelServer(
            String instanceId,
            String zone,
            boolean isPrefill,
            boolean isChanging,
            int queuedRequests,
            int activeRequests,
            int slotCount,
            long memoryUsed,
            long memoryCapacity) {
        int load() {
            return queuedRequests + activeRequests;
        }

        /** A copy of this server that is changing to the given stage. */
        public ModelServer changingTo(boolean toPrefill) {
            return new ModelServer(
                    instanceId,
                    zone,
                    toPrefill,
                    true,
                    queuedRequests,
                    activeRequests,
                    slotCount,
                    memoryUsed,
                    memoryCapacity);
        }
    }

    /**
     * A stage change to order.
     *
     * @param instanceId the server's id
     * @param toPrefill whether the server changes to prefill; otherwise to decode
     */
    public record StageChange(String instanceId, boolean toPrefill) {}

    private StagePlanner() {}

    /**
     * Returns the changes that may start now; none if the split already matches the target. While no request is queued
     * or running, a server that is changing is not needed, so all changes may start at once.
     *
     * @param servers the ready servers of one service that have reported; servers that are changing are passed with the
     *     new stage
     * @return the changes, in the order in which to order them
     */
    public static List<StageChange> planChanges(List<ModelServer> servers) {
        List<StageChange> changes = new ArrayList<>();
        List<ModelServer> planned = new ArrayList<>(servers);
        long changing = servers.stream().filter(ModelServer::isChanging).count();
        for (long remaining = maxChanging(servers) - changing; remaining > 0; remaining--) {
            Optional<StageChange> next = nextChange(planned);
            if (next.isEmpty()) {
                break;
            }
            changes.add(next.get());
            planned.replaceAll(server -> server.instanceId().equals(next.get().instanceId())
                    ? server.changingTo(next.get().toPrefill())
                    : server);
        }
        return changes;
    }

    private static long maxChanging(List<ModelServer> servers) {
        boolean idle = servers.stream().allMatch(server -> server.load() == 0);
        return idle ? servers.size() : Math.max(1, (long) (PLANNING.maxChangingFraction() * servers.size()));
    }

    private static Optional<StageChange> nextChange(List<ModelServer> servers) {
        if (servers.size() < 2) {
            return Optional.empty();
        }
        List<ModelServer> decode =
                servers.stream().filter(server -> !server.isPrefill()).toList();
        List<ModelServer> prefill =
                servers.stream().filter(ModelServer::isPrefill).toList();
        int target = targetDecodeCount(servers, decode);
        boolean needsDecode = isOverloaded(decode) || decode.size() + PLANNING.maxMissingDecodeServers() < target;
        if (decode.size() < target && needsDecode) {
            return prefill.stream()
                    .filter(server -> !server.isChanging())
                    .min(Comparator.comparingInt(ModelServer::load))
                    .map(server -> new StageChange(server.instanceId(), false));
        }
        if (decode.size() > target) {
            return leastLoadedOfLargestZone(decode).map(server -> new StageChange(server.instanceId(), true));
        }
        return Optional.empty();
    }

    private static int targetDecodeCount(List<ModelServer> servers, List<ModelServer> decode) {
        int zones = (int) servers.stream().map(ModelServer::zone).distinct().count();
        int min = Math.max(
                Math.min(zones, servers.size() / 2), (int) Math.ceil(PLANNING.minDecodeFraction() * servers.size()));
        int max = Math.max(1, servers.size() - 1);
        int target = decode.size();
        if (isOverloaded(decode)) {
            target = decode.size() + 1;
        } else if (isOverprovisioned(decode)) {
            target = decode.size() - 1;
        }
        return Math.max(Math.min(min, max), Math.min(target, max));
    }

    private static boolean isOverloaded(List<ModelServer> decode) {
        double slots = decode.stream().mapToInt(ModelServer::slotCount).sum();
        double load = decode.stream().mapToInt(ModelServer::load).sum();
        return load > PLANNING.maxSlotFraction() * slots || memoryFraction(decode) > PLANNING.maxMemoryFraction();
    }

    /** Whether the load would be far from the overload limits with one decode server fewer. */
    private static boolean isOverprovisioned(List<ModelServer> decode) {
        double slots = decode.stream().mapToInt(ModelServer::slotCount).sum();
        double load = decode.stream().mapToInt(ModelServer::load).sum();
        double slotsLeft = decode.isEmpty() ? 0 : slots * (decode.size() - 1) / decode.size();
        return load <= PLANNING.idleSlotFraction() * slotsLeft
                && memoryFraction(decode) <= PLANNING.maxMemoryFraction() / 2;
    }

    private static double memoryFraction(List<ModelServer> decode) {
        double capacity = decode.stream().mapToLong(ModelServer::memoryCapacity).sum();
        return capacity <= 0
                ? 0
                : decode.stream().mapToLong(ModelServer::memoryUsed).sum() / capacity;
    }

    /** The decode server with the lowest load in the zone with the most decode servers; empty if all are changing. */
    private static Optional<ModelServer> leastLoadedOfLargestZone(List<ModelServer> decode) {
        Map<String, Integer> countByZone = new HashMap<>();
        decode.forEach(server -> countByZone.merge(server.zone(), 1, Integer::sum));
        List<ModelServer> sorted = new ArrayList<>(decode);
        sorted.removeIf(ModelServer::isChanging);
        sorted.sort(Comparator.comparingInt((ModelServer server) -> -countByZone.get(server.zone()))
                .thenComparingInt(ModelServer::load)
                .thenComparing(ModelServer::instanceId));
        return sorted.stream().findFirst();
    }
}
