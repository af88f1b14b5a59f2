package dewplank.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * How many of a service's model servers should prefill and how many decode, and which ones to change next. Prefill is
 * what long prompts wait for; decode servers hold many streams at once, and only as many are kept as these need. Pure.
 */
public final class StagePlanner {
    private static final RoutingParameters.StagePlanning PLANNING = RoutingParameters.DEFAULTS.stagePlanning();

    /** A model server as it reported itself. */
    public record Engine(
            String instanceId,
            String zone,
            boolean prefill,
            boolean busy,
            int queued,
            int active,
            int slotCount,
            long memoryUsed,
            long memoryCapacity) {
        int load() {
            return queued + active;
        }

        /** The same while it changes to that stage. */
        public Engine changing(boolean toPrefill) {
            return new Engine(instanceId, zone, toPrefill, true, queued, active, slotCount, memoryUsed, memoryCapacity);
        }
    }

    /** A change to be ordered. */
    public record Change(String instanceId, boolean toPrefill) {}

    private StagePlanner() {}

    /**
     * The changes that may begin now for the ready servers of one service that have reported; none where all is as it
     * should be. While nothing runs there is nobody to miss a server, so all begin at once.
     *
     * @param engines those that change are busy, and have the stage that they will have
     */
    public static List<Change> changes(List<Engine> engines) {
        List<Change> changes = new ArrayList<>();
        List<Engine> planned = new ArrayList<>(engines);
        long changing = engines.stream().filter(Engine::busy).count();
        for (long room = mostChanging(engines) - changing; room > 0; room--) {
            Optional<Change> next = next(planned);
            if (next.isEmpty()) {
                break;
            }
            changes.add(next.get());
            planned.replaceAll(e -> e.instanceId().equals(next.get().instanceId())
                    ? e.changing(next.get().toPrefill())
                    : e);
        }
        return changes;
    }

    private static long mostChanging(List<Engine> engines) {
        boolean idle = engines.stream().allMatch(e -> e.load() == 0);
        return idle ? engines.size() : Math.max(1, (long) (PLANNING.maxChangingFraction() * engines.size()));
    }

    private static Optional<Change> next(List<Engine> engines) {
        if (engines.size() < 2) {
            return Optional.empty();
        }
        List<Engine> decode = engines.stream().filter(e -> !e.prefill()).toList();
        List<Engine> prefill = engines.stream().filter(Engine::prefill).toList();
        int wanted = wantedDecode(engines, decode);
        boolean lacking = crowded(decode) || decode.size() + PLANNING.toleratedAbsent() < wanted;
        if (decode.size() < wanted && lacking) {
            return prefill.stream()
                    .filter(e -> !e.busy())
                    .min(Comparator.comparingInt(Engine::load))
                    .map(e -> new Change(e.instanceId(), false));
        }
        if (decode.size() > wanted) {
            return spare(decode).map(e -> new Change(e.instanceId(), true));
        }
        return Optional.empty();
    }

    private static int wantedDecode(List<Engine> engines, List<Engine> decode) {
        int zones = (int) engines.stream().map(Engine::zone).distinct().count();
        int least = Math.max(
                Math.min(zones, engines.size() / 2), (int) Math.ceil(PLANNING.minDecodeFraction() * engines.size()));
        int most = Math.max(1, engines.size() - 1);
        int wanted = decode.size();
        if (crowded(decode)) {
            wanted = decode.size() + 1;
        } else if (roomy(decode)) {
            wanted = decode.size() - 1;
        }
        return Math.max(Math.min(least, most), Math.min(wanted, most));
    }

    private static boolean crowded(List<Engine> decode) {
        double places = decode.stream().mapToInt(Engine::slotCount).sum();
        double load = decode.stream().mapToInt(Engine::load).sum();
        return load > PLANNING.maxSlotFraction() * places || memoryUsed(decode) > PLANNING.maxMemoryFraction();
    }

    /** Whether one fewer would not be crowded, by far. */
    private static boolean roomy(List<Engine> decode) {
        double places = decode.stream().mapToInt(Engine::slotCount).sum();
        double load = decode.stream().mapToInt(Engine::load).sum();
        double left = decode.isEmpty() ? 0 : places * (decode.size() - 1) / decode.size();
        return load <= PLANNING.idleSlotFraction() * left && memoryUsed(decode) <= PLANNING.maxMemoryFraction() / 2;
    }

    private static double memoryUsed(List<Engine> decode) {
        double capacity = decode.stream().mapToLong(Engine::memoryCapacity).sum();
        return capacity <= 0 ? 0 : decode.stream().mapToLong(Engine::memoryUsed).sum() / capacity;
    }

    /** The least loaded decode server of the zone that has most of them. */
    private static Optional<Engine> spare(List<Engine> decode) {
        Map<String, Integer> inZone = new HashMap<>();
        decode.forEach(e -> inZone.merge(e.zone(), 1, Integer::sum));
        List<Engine> sorted = new ArrayList<>(decode);
        sorted.removeIf(Engine::busy);
        sorted.sort(Comparator.comparingInt((Engine e) -> -inZone.get(e.zone()))
                .thenComparingInt(Engine::load)
                .thenComparing(Engine::instanceId));
        return sorted.stream().findFirst();
    }
}
