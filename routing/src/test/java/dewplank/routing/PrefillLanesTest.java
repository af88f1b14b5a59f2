package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class PrefillLanesTest {
    private static final long SHORT = 826;
    private static final long LONG = 9_190;

    private static List<ServerState> servers(int count) {
        List<ServerState> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new ServerState("i-" + i, "service", "z", ServerState.Stage.PREFILL));
        }
        return servers;
    }

    private static PrefillLanes taught(long seed, int prompts) {
        SplittableRandom random = new SplittableRandom(seed);
        PrefillLanes lanes = new PrefillLanes();
        for (int i = 0; i < prompts; i++) {
            long mean = random.nextInt(9) < 5 ? SHORT : LONG;
            lanes.saw((long) (mean * (0.5 + random.nextDouble())));
        }
        return lanes;
    }

    @Test
    void aFewOfManyServersAreKeptForShortPrompts() {
        List<ServerState> servers = servers(47);
        PrefillLanes lanes = taught(1, 200);
        List<ServerState> forShort = lanes.lane(servers, SHORT);
        List<ServerState> forLong = lanes.lane(servers, LONG);
        assertTrue(forShort.size() >= 4 && forShort.size() <= 12, forShort.size() + " for short ones");
        assertEquals(47, forShort.size() + forLong.size());
        Set<ServerState> both = new HashSet<>(forShort);
        both.retainAll(forLong);
        assertEquals(Set.of(), both);
    }

    /** Each of them sees prompts of its own; a server of one's long lane may be in another's short one, but few are. */
    @Test
    void dataPlanesMostlyAgree() {
        List<ServerState> servers = servers(47);
        Set<ServerState> some = new HashSet<>();
        Set<ServerState> all = new HashSet<>(servers);
        for (long seed = 0; seed < 90; seed++) {
            List<ServerState> lane = taught(seed, 60).lane(servers, SHORT);
            some.addAll(lane);
            all.retainAll(lane);
        }
        assertTrue(some.size() <= 16 && all.size() >= 4, all.size() + " in all lanes, " + some.size() + " in any");
    }

    @Test
    void fewServersOrPromptsOfOneLengthOrLittleKnownKeepNone() {
        assertEquals(5, taught(1, 200).lane(servers(5), SHORT).size());
        assertEquals(47, taught(1, 5).lane(servers(47), SHORT).size());
        PrefillLanes alike = new PrefillLanes();
        for (int i = 0; i < 200; i++) {
            alike.saw(LONG);
        }
        assertEquals(47, alike.lane(servers(47), LONG).size());
        assertEquals(47, alike.lane(servers(47), SHORT).size());
    }

    @Test
    void aServerThatIsNotReadyIsInNoLane() {
        List<ServerState> servers = servers(47);
        PrefillLanes lanes = taught(1, 200);
        ServerState leaving = lanes.lane(servers, SHORT).get(0);
        leaving.listed(false, ServerState.Stage.PREFILL);
        assertTrue(!lanes.lane(servers, SHORT).contains(leaving));
        assertTrue(!lanes.lane(servers, LONG).contains(leaving));
    }
}
