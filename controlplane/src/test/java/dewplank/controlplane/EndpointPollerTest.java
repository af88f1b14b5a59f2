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

/** Under whose lease the list is published, in virtual time: the platform answers when the test lets it. */
class EndpointPollerTest {
    private static final double DRAIN_MS = 3_000;
    /** The first poll under a token and the last that fails each wait for their interval: 400 ms and a check. */
    private static final double POLLING_MS = 2 * (400 + 50);

    private static final class TestRole implements SingletonRole {
        private boolean leaseHeld = true;
        private long number = 7;
        private final List<Double> pauses = new ArrayList<>();

        @Override
        public boolean isLeaseHolder() {
            return leaseHeld;
        }

        @Override
        public long fencingToken() {
            return number;
        }

        @Override
        public void stepDown(double minimumMs) {
            pauses.add(minimumMs);
            leaseHeld = false;
        }

        void reacquire() {
            number++;
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

    private void answer(int count) {
        polls.remove().completed(servers(count));
    }

    @Test
    void changesArePublishedUnderTheTokenOfTheLease() {
        answer(2);
        time.run(400);
        answer(2);
        time.run(400);
        answer(3);
        assertEquals(
                List.of(new EndpointListVersion(7, 1), new EndpointListVersion(7, 2)),
                published.stream().map(l -> l.version).toList());
        assertEquals(3, poller.newest().endpoints.size());
    }

    @Test
    void anAnswerUnderALapsedLeaseIsNotPublished() {
        role.leaseHeld = false;
        answer(2);
        assertEquals(List.of(), published);
        assertEquals(EndpointListVersion.NONE, poller.newest().version);
    }

    /** A successor may have published a newer list between the poll and its response. */
    @Test
    void aPollBegunBeforeALapseIsNotPublishedUnderANewToken() {
        role.reacquire();
        answer(2);
        assertEquals(List.of(), published);
        time.run(400);
        answer(3);
        assertEquals(new EndpointListVersion(8, 1), published.get(0).version);
    }

    /** One that a predecessor published last may still be under way, and must not be taken for newer. */
    @Test
    void theFirstListUnderATokenIsPublishedEvenIfUnchanged() {
        answer(2);
        role.reacquire();
        time.run(400);
        answer(2);
        assertEquals(new EndpointListVersion(8, 1), poller.newest().version);
        assertFalse(poller.receive(new EndpointList(new EndpointListVersion(7, 9), servers(1))));
        assertEquals(2, published.size());
    }

    private static List<Endpoint> engines(String... stages) {
        List<Endpoint> servers = new ArrayList<>();
        for (int i = 0; i < stages.length; i++) {
            servers.add(new Endpoint("i-" + i, "s", "10.0.0.1:" + i, "z", 8, false, 0, stages[i]));
        }
        return servers;
    }

    private List<String> stages() {
        return poller.newest().endpoints.stream().map(s -> s.stage).toList();
    }

    /** The platform's list lags: the stage that a server was ordered to is published at once, until the list agrees. */
    @Test
    void aStageOverrideIsPublishedUntilThePlatformAgrees() {
        polls.remove().completed(engines("decode", "decode"));
        poller.overrideStage("i-1", Endpoint.CHANGING, 10_000);
        poller.publishStageOverrides(7);
        assertEquals(List.of("decode", Endpoint.CHANGING), stages());
        assertEquals(2, published.size());
        time.run(400);
        polls.remove().completed(engines("decode", "decode"));
        assertEquals(2, published.size(), "nothing new");
        poller.overrideStage("i-1", "prefill", 10_000);
        poller.publishStageOverrides(7);
        assertEquals(List.of("decode", "prefill"), stages());
        time.run(400);
        polls.remove().completed(engines("decode", "decode"));
        assertEquals(List.of("decode", "prefill"), stages(), "the list lags");
        time.run(400);
        polls.remove().completed(engines("decode", "prefill"));
        time.run(400);
        polls.remove().completed(engines("decode", "decode"));
        assertEquals(List.of("decode", "decode"), stages(), "the list had agreed: it is believed again");
    }

    @Test
    void aStageOverrideNeedsTheTokenAndExpires() {
        polls.remove().completed(engines("decode"));
        role.reacquire();
        poller.overrideStage("i-0", Endpoint.CHANGING, 1_000);
        poller.publishStageOverrides(7);
        poller.publishStageOverrides(8);
        assertEquals(List.of("decode"), stages());
        time.run(400);
        polls.remove().completed(engines("decode"));
        assertEquals(List.of(Endpoint.CHANGING), stages());
        time.run(400);
        polls.remove().completed(engines("decode"));
        time.run(400);
        polls.remove().completed(engines("decode"));
        assertEquals(List.of("decode"), stages(), "it has lapsed");
    }

    @Test
    void doesNotPollWithoutTheLease() {
        answer(2);
        role.leaseHeld = false;
        time.run(5_000);
        assertTrue(polls.isEmpty());
    }

    /** Fails every poll until the lease is released; returns how long that took. */
    private double millisUntilReleased() {
        double start = time.now();
        int before = role.pauses.size();
        while (role.pauses.size() == before) {
            assertTrue(time.now() < start + 100_000, "never laid down");
            while (!polls.isEmpty()) {
                polls.remove().failed("no answer");
            }
            time.run(50);
        }
        return time.now() - start;
    }

    @Test
    void aHolderThatCannotReachThePlatformReleasesTheLease() {
        answer(2);
        double took = millisUntilReleased();
        assertTrue(took >= DRAIN_MS / 2 && took <= DRAIN_MS / 2 + 500, "took " + took);
        assertEquals(List.of(DRAIN_MS), role.pauses);
    }

    /** Where the platform is down for all, the lease moves ever more slowly; a response ends that. */
    @Test
    void theLeaseMovesEverMoreSlowlyWhileThePlatformIsDownForAll() {
        double[] backoffFactors = {1, 2, 4, 8, 16, 16};
        for (double backoffFactor : backoffFactors) {
            double took = millisUntilReleased();
            assertTrue(
                    took >= backoffFactor * DRAIN_MS / 2 && took <= backoffFactor * DRAIN_MS / 2 + POLLING_MS,
                    backoffFactor + " took " + took);
            role.reacquire();
        }
        time.run(400);
        answer(2);
        assertTrue(millisUntilReleased() <= DRAIN_MS / 2 + POLLING_MS);
    }

    @Test
    void occasionalFailuresDoNotReleaseTheLease() {
        for (int i = 0; i < 100; i++) {
            if (i % 3 == 0) {
                polls.remove().completed(servers(2));
            } else {
                polls.remove().failed("status 429");
            }
            time.run(400);
        }
        assertEquals(List.of(), role.pauses);
    }
}
