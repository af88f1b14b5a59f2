package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Checks votes with summaries that are delayed, duplicated, of an earlier incarnation, or of a replaced machine. */
class HealthVotesTest {
    private static final String SERVER = "i-1";
    private static final String PEER = "10.0.0.1";
    private static final int SERVER_HASH = SERVER.hashCode();
    private static final long EARLIER_INCARNATION = 1_000;
    private static final long LATER_INCARNATION = 2_000;
    private static final double SUMMARY_VALID_MS = 3_000;

    private final HealthVotes votes = new HealthVotes();

    private static HealthSummary unhealthy(long incarnation, int sequence) {
        return new HealthSummary(
                incarnation, sequence, List.of(new HealthSummary.Suspected(SERVER_HASH, 3, 0)), List.of());
    }

    private static HealthSummary healthy(long incarnation, int sequence) {
        return new HealthSummary(incarnation, sequence, List.of(), List.of(new HealthSummary.Healthy(SERVER_HASH, 0)));
    }

    /** Whether the server is ejected if this data plane observes a failure at that time. */
    private boolean isEjectedAfterOwnFailure(double nowMs) {
        OutcomeWindow own = new OutcomeWindow();
        own.record(nowMs, "class", false);
        return votes.isEjected(nowMs, SERVER, own);
    }

    private boolean isEjectedByPeersAlone(double nowMs) {
        return votes.isEjected(nowMs, SERVER, new OutcomeWindow());
    }

    @Test
    void aDelayedSummaryOfAnEarlierIncarnationIsIgnored() {
        votes.recordSummary(0, PEER, healthy(LATER_INCARNATION, 1));
        votes.recordSummary(1, "10.0.0.2", healthy(LATER_INCARNATION, 1));
        votes.recordSummary(2, PEER, unhealthy(EARLIER_INCARNATION, 900));
        assertFalse(isEjectedAfterOwnFailure(3));
    }

    @Test
    void aNewIncarnationCountsFromItsFirstSummary() {
        votes.recordSummary(0, PEER, healthy(EARLIER_INCARNATION, 900));
        votes.recordSummary(0, "10.0.0.2", healthy(EARLIER_INCARNATION, 900));
        votes.recordSummary(1, PEER, unhealthy(LATER_INCARNATION, 1));
        votes.recordSummary(1, "10.0.0.2", unhealthy(LATER_INCARNATION, 1));
        assertTrue(isEjectedAfterOwnFailure(2));
    }

    @Test
    void aDuplicateOrDelayedSummaryIsIgnored() {
        votes.recordSummary(0, PEER, healthy(LATER_INCARNATION, 2));
        votes.recordSummary(1, PEER, unhealthy(LATER_INCARNATION, 1));
        votes.recordSummary(2, PEER, healthy(LATER_INCARNATION, 2));
        assertFalse(isEjectedByPeersAlone(3));
        assertFalse(
                isEjectedByPeersAlone(SUMMARY_VALID_MS + 1),
                "received at 0; the duplicate does not extend its validity");
    }

    /** The clock of the new machine is behind, so its incarnation is lower than that of the previous machine. */
    @Test
    void aNewMachineAtTheAddressCountsOnceTheLastSummaryIsStale() {
        votes.recordSummary(0, PEER, healthy(LATER_INCARNATION, 5));
        votes.recordSummary(0, "10.0.0.2", healthy(LATER_INCARNATION, 5));
        votes.recordSummary(SUMMARY_VALID_MS, PEER, unhealthy(EARLIER_INCARNATION, 1));
        assertFalse(isEjectedAfterOwnFailure(SUMMARY_VALID_MS));
        votes.evictStale(SUMMARY_VALID_MS + 1);
        votes.recordSummary(SUMMARY_VALID_MS + 2, PEER, unhealthy(EARLIER_INCARNATION, 2));
        assertTrue(isEjectedAfterOwnFailure(SUMMARY_VALID_MS + 3));
    }

    @Test
    void anEjectionEndsWhenItsSummariesExpire() {
        votes.recordSummary(0, PEER, unhealthy(LATER_INCARNATION, 1));
        assertTrue(isEjectedAfterOwnFailure(SUMMARY_VALID_MS));
        assertFalse(isEjectedByPeersAlone(SUMMARY_VALID_MS + 1));
    }

    private static HealthSummary failed(int failures, double ageMs) {
        return new HealthSummary(
                LATER_INCARNATION, 1, List.of(new HealthSummary.Suspected(SERVER_HASH, failures, ageMs)), List.of());
    }

    /**
     * In a large fleet no single data plane observes three failures of a server, but three of them observe one each.
     */
    @Test
    void theFailuresRequiredForAnEjectionAreCountedOverTheFleet() {
        votes.recordSummary(0, "10.0.0.1", failed(1, 0));
        assertFalse(isEjectedByPeersAlone(1));
        assertFalse(isEjectedAfterOwnFailure(1), "two failures");
        votes.recordSummary(2, "10.0.0.2", failed(1, 0));
        assertFalse(isEjectedByPeersAlone(3), "two failures");
        assertTrue(isEjectedAfterOwnFailure(3), "three failures");
        votes.recordSummary(4, "10.0.0.3", failed(1, 0));
        assertTrue(isEjectedByPeersAlone(5), "three failures, none of them at this data plane");
    }

    @Test
    void aMajorityOfTheDataPlanesThatUsedTheServerDecides() {
        votes.recordSummary(0, "10.0.0.1", failed(3, 0));
        votes.recordSummary(0, "10.0.0.2", healthy(LATER_INCARNATION, 1));
        votes.recordSummary(0, "10.0.0.3", healthy(LATER_INCARNATION, 1));
        assertFalse(isEjectedByPeersAlone(1));
        assertTrue(isEjectedAfterOwnFailure(1), "two of four votes, and its own vote decides a tie");
    }

    /** A success after the failures shows every data plane that receives it that the server is healthy again. */
    @Test
    void aLaterSuccessInvalidatesFailures() {
        votes.recordSummary(0, "10.0.0.1", failed(9, 0));
        votes.recordSummary(0, "10.0.0.2", failed(9, 100));
        votes.recordSummary(0, "10.0.0.4", failed(9, 0));
        votes.recordSummary(0, "10.0.0.5", failed(9, 0));
        assertTrue(isEjectedByPeersAlone(1));
        votes.recordSummary(
                400,
                "10.0.0.3",
                new HealthSummary(LATER_INCARNATION, 1, List.of(), List.of(new HealthSummary.Healthy(SERVER_HASH, 0))));
        assertTrue(isEjectedByPeersAlone(401), "the success is not sufficiently later than the failures");
        votes.recordSummary(
                900,
                "10.0.0.3",
                new HealthSummary(
                        LATER_INCARNATION, 2, List.of(), List.of(new HealthSummary.Healthy(SERVER_HASH, 100))));
        assertFalse(isEjectedByPeersAlone(901));
    }

    @Test
    void aSummaryIsDecodedAsItWasEncoded() {
        HealthSummary sent = new HealthSummary(
                LATER_INCARNATION,
                7,
                List.of(new HealthSummary.Suspected(SERVER_HASH, 3, 1_200)),
                List.of(new HealthSummary.Healthy(-SERVER_HASH, 400)));
        assertEquals(Optional.of(sent), HealthSummary.decode(sent.encode()));
    }

    @Test
    void aSummaryOfManyServersStaysWithinItsMaximumLengthAndListsSuspectedServersFirst() {
        List<HealthSummary.Suspected> suspected = IntStream.range(0, 30)
                .mapToObj(hash -> new HealthSummary.Suspected(hash, 1_000, 1_000_000))
                .toList();
        List<HealthSummary.Healthy> healthy = IntStream.range(100, 200)
                .mapToObj(hash -> new HealthSummary.Healthy(hash, 0))
                .toList();
        byte[] bytes = new HealthSummary(LATER_INCARNATION, 1, suspected, healthy).encode();
        assertTrue(bytes.length <= HealthSummary.MAX_BYTES);
        HealthSummary read = HealthSummary.decode(bytes).orElseThrow();
        assertEquals(30, read.suspected().size());
        assertEquals(
                new HealthSummary.Suspected(0, 255, 25_500), read.suspected().get(0));
        assertTrue(read.healthy().size() >= 10, "healthy " + read.healthy().size());
        for (int length = 0; length < bytes.length; length++) { // truncated summaries cause no exception
            HealthSummary.decode(Arrays.copyOf(bytes, length));
        }
    }
}
