package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.message.Endpoint;
import dewplank.message.EndpointList;
import dewplank.message.EndpointListVersion;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Tests, in virtual time, under which lease lists are published. The tests determine when the platform responds. */
class EndpointPollerTest {
    private static final double DRAIN_MS = 3_000;
    /**
     * Maximum total delay of two polls, the first under a token and the last that fails: each is delayed by at most the
     * interval of polls (400 ms) and that of checks (50 ms).
     */
    private static final double POLLING_MS = 2 * (400 + 50);

    private static final class TestRole implements SingletonRole {
        private boolean leaseHeld = true;
        private long fencingToken = 7;
        private final List<Double> stepDownDurationsMs = new ArrayList<>();

        @Override
        public boolean isLeaseHolder() {
            return leaseHeld;
        }

        @Override
        public long fencingToken() {
            return fencingToken;
        }

        @Override
        public void stepDown(double minimumMs) {
            stepDownDurationsMs.add(minimumMs);
            leaseHeld = false;
        }

        void reacquire() {
            fencingToken++;
            leaseHeld = true;
        }
    }

    private final VirtualTime time = new VirtualTime();
    private final TestRole role = new TestRole();
    private final Deque<PlatformClient.Callback> polls = new ArrayDeque<>();
    private final List<EndpointList> published = new ArrayList<>();
    private final EndpointPoller poller = new EndpointPoller(time, polls::add, role, DRAIN_MS, published::add);

    @BeforeEach
    void begin() {
        poller.start();
    }

    private static List<Endpoint> servers(int count) {
        List<Endpoint> servers = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            servers.add(new Endpoint("i-" + i, "s", "10.0.0.1:" + i, "z", 8, false, 0, null));
        }
        return servers;
    }

    private void completePoll(int count) {
        polls.remove().completed(servers(count));
    }

    @Test
    void changesArePublishedUnderTheLeasesFencingToken() {
        completePoll(2);
        time.advance(400);
        completePoll(2);
        time.advance(400);
        completePoll(3);
        assertEquals(
                List.of(new EndpointListVersion(7, 1), new EndpointListVersion(7, 2)),
                published.stream().map(l -> l.version).toList());
        assertEquals(3, poller.newest().endpoints.size());
    }

    @Test
    void aPollThatCompletesAfterTheLeaseExpiredIsNotPublished() {
        role.leaseHeld = false;
        completePoll(2);
        assertEquals(List.of(), published);
        assertEquals(EndpointListVersion.NONE, poller.newest().version);
    }

    /** A successor may have published a newer list between the poll's request and its response. */
    @Test
    void aPollStartedUnderAnOlderTokenIsNotPublishedUnderANewOne() {
        role.reacquire();
        completePoll(2);
        assertEquals(List.of(), published);
        time.advance(400);
        completePoll(3);
        assertEquals(new EndpointListVersion(8, 1), published.get(0).version);
    }

    /** The predecessor's last list may still be in flight and must not be taken for a newer one. */
    @Test
    void theFirstListUnderATokenIsPublishedEvenIfUnchanged() {
        completePoll(2);
        role.reacquire();
        time.advance(400);
        completePoll(2);
        assertEquals(new EndpointListVersion(8, 1), poller.newest().version);
        assertFalse(poller.receive(new EndpointList(new EndpointListVersion(7, 9), servers(1))));
        assertEquals(2, published.size());
    }

    private static List<Endpoint> serversInStages(String... stages) {
        List<Endpoint> servers = new ArrayList<>();
        for (int i = 0; i < stages.length; i++) {
            servers.add(new Endpoint("i-" + i, "s", "10.0.0.1:" + i, "z", 8, false, 0, stages[i]));
        }
        return servers;
    }

    private List<String> stages() {
        return poller.newest().endpoints.stream().map(s -> s.stage).toList();
    }

    /** The platform's list is updated late, so an ordered stage is published immediately and until the list agrees. */
    @Test
    void aStageOverrideIsPublishedUntilThePlatformAgrees() {
        polls.remove().completed(serversInStages("decode", "decode"));
        poller.overrideStage("i-1", Endpoint.CHANGING, 10_000);
        poller.publishStageOverrides(7);
        assertEquals(List.of("decode", Endpoint.CHANGING), stages());
        assertEquals(2, published.size());
        time.advance(400);
        polls.remove().completed(serversInStages("decode", "decode"));
        assertEquals(2, published.size(), "no list without a change");
        poller.overrideStage("i-1", "prefill", 10_000);
        poller.publishStageOverrides(7);
        assertEquals(List.of("decode", "prefill"), stages());
        time.advance(400);
        polls.remove().completed(serversInStages("decode", "decode"));
        assertEquals(List.of("decode", "prefill"), stages(), "the platform's list lags");
        time.advance(400);
        polls.remove().completed(serversInStages("decode", "prefill"));
        time.advance(400);
        polls.remove().completed(serversInStages("decode", "decode"));
        assertEquals(List.of("decode", "decode"), stages(), "the override ended when the platform's list agreed");
    }

    @Test
    void aStageOverrideRequiresTheCurrentTokenAndExpires() {
        polls.remove().completed(serversInStages("decode"));
        role.reacquire();
        poller.overrideStage("i-0", Endpoint.CHANGING, 1_000);
        poller.publishStageOverrides(7);
        poller.publishStageOverrides(8);
        assertEquals(List.of("decode"), stages());
        time.advance(400);
        polls.remove().completed(serversInStages("decode"));
        assertEquals(List.of(Endpoint.CHANGING), stages());
        time.advance(400);
        polls.remove().completed(serversInStages("decode"));
        time.advance(400);
        polls.remove().completed(serversInStages("decode"));
        assertEquals(List.of("decode"), stages(), "the override has expired");
    }

    @Test
    void doesNotPollWithoutTheLease() {
        completePoll(2);
        role.leaseHeld = false;
        time.advance(5_000);
        assertTrue(polls.isEmpty());
    }

    /** Fails every poll until the lease is released, and returns the time until then. */
    private double millisUntilLeaseReleased() {
        double start = time.now();
        int before = role.stepDownDurationsMs.size();
        while (role.stepDownDurationsMs.size() == before) {
            assertTrue(time.now() < start + 100_000, "lease never released");
            while (!polls.isEmpty()) {
                polls.remove().failed("no response");
            }
            time.advance(50);
        }
        return time.now() - start;
    }

    @Test
    void aLeaseHolderThatCannotReachThePlatformReleasesTheLease() {
        completePoll(2);
        double took = millisUntilLeaseReleased();
        assertTrue(took >= DRAIN_MS / 2 && took <= DRAIN_MS / 2 + 500, "took " + took);
        assertEquals(List.of(DRAIN_MS), role.stepDownDurationsMs);
    }

    /** While the platform is unreachable, the lease is released at increasing intervals; a response resets them. */
    @Test
    void theLeaseIsReleasedAtIncreasingIntervalsWhileThePlatformIsDown() {
        double[] backoffFactors = {1, 2, 4, 8, 16, 16};
        for (double backoffFactor : backoffFactors) {
            double took = millisUntilLeaseReleased();
            assertTrue(
                    took >= backoffFactor * DRAIN_MS / 2 && took <= backoffFactor * DRAIN_MS / 2 + POLLING_MS,
                    backoffFactor + " took " + took);
            role.reacquire();
        }
        time.advance(400);
        completePoll(2);
        assertTrue(millisUntilLeaseReleased() <= DRAIN_MS / 2 + POLLING_MS);
    }

    @Test
    void occasionalFailuresDoNotReleaseTheLease() {
        for (int i = 0; i < 100; i++) {
            if (i % 3 == 0) {
                polls.remove().completed(servers(2));
            } else {
                polls.remove().failed("status 429");
            }
            time.advance(400);
        }
        assertEquals(List.of(), role.stepDownDurationsMs);
    }
}
