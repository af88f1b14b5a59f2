package dewplank.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Plans which of a service's model servers change between prefill and decode. Prefill is what long prompts wait for;
 * decode servers run many streams at once, so only as many decode as the streams need. Pure: called by the control
 * plane that has the stage role, with the newest reports, on its event loop.
 */
public final class StagePlanner {
    private static final RoutingParameters.StagePlanning PLANNING = RoutingParameters.DEFAULTS.stagePlanning();

    /**
     * A model server as it reported itself.
     *
     * @param instanceId its id
     * @param zone the name of its zone
     * @param isPrefill whether it prefills, or will at the end of a change; else it decodes
     * @param isChanging whether it is between two stages
     * @param queuedRequests that wait there
     * @param activeRequests that run there
     * @param slotCount requests that can run at once
     * @param memoryUsed of its KV cache, in the unit of the next
     * @param memoryCapacity of its KV cache; 0 where it reports none
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

        /** The same while it changes to that stage. */
        public ModelServer whileChanging(boolean toPrefill) {
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
     * A change to be ordered.
     *
     * @param instanceId the server's id
     * @param toPrefill whether it is to prefill; else to decode
     */
    public record StageChange(String instanceId, boolean toPrefill) {}

    private StagePlanner() {}

    /**
     * The changes that may begin now for the ready servers of one service that have reported; none where the
     * split is as it should be. While no request runs nobody misses a server, so all changes begin at once.
     *
     * @param servers those that are changing have the stage that they will have
     * @return in the order in which they are to be ordered
     */
    public static List<StageChange> planChanges(List<ModelServer> servers) {
        List<StageChange> changes = new ArrayList<>();
        List<ModelServer> planned = new ArrayList<>(servers);
        long changing = servers.stream().filter(ModelServer::isChanging).count();
        for (long freeChanges = maxChanging(servers) - changing; freeChanges > 0; freeChanges--) {
            Optional<StageChange> next = nextChange(planned);
            if (next.isEmpty()) {
                break;
            }
            changes.add(next.get());
            planned.replaceAll(server -> server.instanceId().equals(next.get().instanceId())
                    ? server.whileChanging(next.get().toPrefill())
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
        boolean lacksDecode = isOverloaded(decode) || decode.size() + PLANNING.toleratedAbsent() < target;
        if (decode.size() < target && lacksDecode) {
            return prefill.stream()
                    .filter(server -> !server.isChanging())
                    .min(Comparator.comparingInt(ModelServer::load))
                    .map(server -> new StageChange(server.instanceId(), false));
        }
        if (decode.size() > target) {
            return leastNeeded(decode).map(server -> new StageChange(server.instanceId(), true));
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

    /** Whether one server fewer would be far from overloaded. */
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

    /** The least loaded decode server of the zone that has most of them; none while all are changing. */
    private static Optional<ModelServer> leastNeeded(List<ModelServer> decode) {
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
