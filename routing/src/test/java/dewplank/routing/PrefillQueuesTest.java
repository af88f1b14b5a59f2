package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;

class PrefillQueuesTest {
    private static final long SHORT = 826;
    private static final long LONG = 9_190;

    private static List<TrackedServer> servers(int count) {
        List<TrackedServer> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new TrackedServer("i-" + i, "service", "z", TrackedServer.Stage.PREFILL));
        }
        return servers;
    }

    private static PrefillQueues queuesAfterPrompts(long seed, int prompts) {
        SplittableRandom random = new SplittableRandom(seed);
        PrefillQueues queues = new PrefillQueues();
        for (int i = 0; i < prompts; i++) {
            long mean = random.nextInt(9) < 5 ? SHORT : LONG;
            queues.recordPrompt((long) (mean * (0.5 + random.nextDouble())));
        }
        return queues;
    }

    @Test
    void aFewOfManyServersAreReservedForShortPrompts() {
        List<TrackedServer> servers = servers(47);
        PrefillQueues queues = queuesAfterPrompts(1, 200);
        List<TrackedServer> forShort = queues.serversFor(servers, SHORT);
        List<TrackedServer> forLong = queues.serversFor(servers, LONG);
        assertTrue(forShort.size() >= 4 && forShort.size() <= 12, forShort.size() + " for short prompts");
        assertEquals(47, forShort.size() + forLong.size());
        Set<TrackedServer> both = new HashSet<>(forShort);
        both.retainAll(forLong);
        assertEquals(Set.of(), both);
    }

    /** Each data plane estimates lengths from its own prompts, so the data planes assign a few servers differently. */
    @Test
    void dataPlanesAgreeOnMostServers() {
        List<TrackedServer> servers = servers(47);
        Set<TrackedServer> inAny = new HashSet<>();
        Set<TrackedServer> inAll = new HashSet<>(servers);
        for (long seed = 0; seed < 90; seed++) {
            List<TrackedServer> forShort = queuesAfterPrompts(seed, 60).serversFor(servers, SHORT);
            inAny.addAll(forShort);
            inAll.retainAll(forShort);
        }
        assertTrue(
                inAny.size() <= 16 && inAll.size() >= 4,
                inAll.size() + " reserved by all data planes, " + inAny.size() + " by any");
    }

    @Test
    void noServersAreReservedWithFewServersOrEqualLengthsOrTooFewPrompts() {
        assertEquals(5, queuesAfterPrompts(1, 200).serversFor(servers(5), SHORT).size());
        assertEquals(47, queuesAfterPrompts(1, 5).serversFor(servers(47), SHORT).size());
        PrefillQueues equalLengths = new PrefillQueues();
        for (int i = 0; i < 200; i++) {
            equalLengths.recordPrompt(LONG);
        }
        assertEquals(47, equalLengths.serversFor(servers(47), LONG).size());
        assertEquals(47, equalLengths.serversFor(servers(47), SHORT).size());
    }

    @Test
    void aServerThatIsNotReadyIsOnNeitherSideOfTheSplit() {
        List<TrackedServer> servers = servers(47);
        PrefillQueues queues = queuesAfterPrompts(1, 200);
        TrackedServer draining = queues.serversFor(servers, SHORT).get(0);
        draining.updateListing(false, TrackedServer.Stage.PREFILL);
        assertTrue(!queues.serversFor(servers, SHORT).contains(draining));
        assertTrue(!queues.serversFor(servers, LONG).contains(draining));
    }
}
