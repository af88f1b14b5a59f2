package dewplank.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ShareAssignerTest {
    private static final long FENCING_TOKEN = 7;
    private static final ShareReport NO_SHARE = new ShareReport(0, 0, 0);
    private static final double RENEWAL_ONLY_UNTIL_MS = ShareLease.IN_FORCE_MS;

    private final ShareAssigner assigner = new ShareAssigner();

    private ShareGrant grant(double nowMs, String address, ShareReport report) {
        return assigner.onReport(nowMs, address, report).orElseThrow();
    }

    private static ShareReport applied(ShareGrant grant) {
        return new ShareReport(grant.fraction(), grant.fencingToken(), grant.number());
    }

    @Test
    void grantsNothingWithoutTheLeaseOfTheRole() {
        assertTrue(assigner.onReport(0, "a", NO_SHARE).isEmpty());
        assigner.begin(0, FENCING_TOKEN);
        assertFalse(assigner.onReport(1, "a", NO_SHARE).isEmpty());
        assigner.end();
        assertTrue(assigner.onReport(2, "a", NO_SHARE).isEmpty());
    }

    @Test
    void aNewAssignerOnlyRenewsUntilItsPredecessorsSharesHaveExpired() {
        assigner.begin(0, FENCING_TOKEN);
        assertEquals(
                new ShareGrant(0.3, FENCING_TOKEN, 1, true),
                grant(200, "a", new ShareReport(0.3, FENCING_TOKEN - 1, 99)));
        assertEquals(new ShareGrant(0, FENCING_TOKEN, 2, true), grant(RENEWAL_ONLY_UNTIL_MS - 1, "b", NO_SHARE));
        assertEquals(new ShareGrant(0.5, FENCING_TOKEN, 3, false), grant(RENEWAL_ONLY_UNTIL_MS, "b", NO_SHARE));
    }

    @Test
    void theFirstToReportIsGrantedTheFullShareAndOthersGetWhatItReleases() {
        assigner.begin(0, FENCING_TOKEN);
        ShareGrant full = grant(RENEWAL_ONLY_UNTIL_MS, "a", NO_SHARE);
        assertEquals(1, full.fraction());
        assertEquals(0, grant(RENEWAL_ONLY_UNTIL_MS + 1, "b", NO_SHARE).fraction());
        ShareGrant half = grant(RENEWAL_ONLY_UNTIL_MS + 300, "a", applied(full));
        assertEquals(0.5, half.fraction());
        assertEquals(
                0, grant(RENEWAL_ONLY_UNTIL_MS + 301, "b", NO_SHARE).fraction(), "no report shows that it was applied");
        grant(RENEWAL_ONLY_UNTIL_MS + 600, "a", applied(half));
        assertEquals(0.5, grant(RENEWAL_ONLY_UNTIL_MS + 601, "b", NO_SHARE).fraction());
    }

    @Test
    void anUnreportedReductionReleasesTheDifferenceWhenTheLargerGrantExpires() {
        assigner.begin(0, FENCING_TOKEN);
        grant(RENEWAL_ONLY_UNTIL_MS, "a", NO_SHARE);
        grant(RENEWAL_ONLY_UNTIL_MS + 1, "b", NO_SHARE);
        grant(RENEWAL_ONLY_UNTIL_MS + 2, "a", NO_SHARE);
        double expiresAtMs = RENEWAL_ONLY_UNTIL_MS + ShareLease.IN_FORCE_MS;
        assertEquals(0, grant(expiresAtMs - 1, "b", NO_SHARE).fraction());
        assertEquals(0.5, grant(expiresAtMs, "b", NO_SHARE).fraction());
    }

    @Test
    void aReportUnderAnotherFencingTokenReleasesNothing() {
        assigner.begin(0, FENCING_TOKEN);
        grant(RENEWAL_ONLY_UNTIL_MS, "a", NO_SHARE);
        grant(RENEWAL_ONLY_UNTIL_MS + 1, "b", NO_SHARE);
        ShareGrant half = grant(RENEWAL_ONLY_UNTIL_MS + 2, "a", NO_SHARE);
        grant(RENEWAL_ONLY_UNTIL_MS + 3, "a", new ShareReport(0, FENCING_TOKEN - 1, half.number()));
        assertEquals(0, grant(RENEWAL_ONLY_UNTIL_MS + 4, "b", NO_SHARE).fraction());
    }

    @Test
    void theShareOfAFailedControlPlaneIsReassignedAfterItsExpiry() {
        assigner.begin(0, FENCING_TOKEN);
        ShareGrant first = grant(RENEWAL_ONLY_UNTIL_MS - 1, "b", NO_SHARE);
        ShareGrant half = grant(RENEWAL_ONLY_UNTIL_MS, "a", NO_SHARE);
        assertEquals(0.5, half.fraction());
        assertEquals(0.5, grant(RENEWAL_ONLY_UNTIL_MS + 1, "b", applied(first)).fraction());
        double expiresAtMs = RENEWAL_ONLY_UNTIL_MS + ShareLease.IN_FORCE_MS;
        assertEquals(0.5, grant(expiresAtMs - 1, "b", NO_SHARE).fraction());
        assertEquals(1, grant(expiresAtMs, "b", NO_SHARE).fraction());
    }

    @Test
    void aRestartedControlPlaneGetsItsShareImmediately() {
        assigner.begin(0, FENCING_TOKEN);
        grant(RENEWAL_ONLY_UNTIL_MS - 1, "b", NO_SHARE);
        ShareGrant half = grant(RENEWAL_ONLY_UNTIL_MS, "a", NO_SHARE);
        grant(RENEWAL_ONLY_UNTIL_MS + 1, "b", NO_SHARE);
        grant(RENEWAL_ONLY_UNTIL_MS + 2, "a", applied(half));
        assertEquals(0.5, grant(RENEWAL_ONLY_UNTIL_MS + 3, "a", NO_SHARE).fraction());
    }

    @Test
    void aLateReportOfAnEarlierIncarnationDoesNotReleaseTheShareOfItsSuccessor() {
        assigner.begin(0, FENCING_TOKEN);
        ShareGrant full = grant(RENEWAL_ONLY_UNTIL_MS, "a", NO_SHARE);
        grant(RENEWAL_ONLY_UNTIL_MS + 1, "a", NO_SHARE);
        grant(RENEWAL_ONLY_UNTIL_MS + 2, "b", NO_SHARE);
        grant(RENEWAL_ONLY_UNTIL_MS + 3, "a", applied(full));
        assertEquals(0, grant(RENEWAL_ONLY_UNTIL_MS + 4, "b", NO_SHARE).fraction());
    }

    /** Two delayed reports may add up to more than 1; neither share is raised before one of them has expired. */
    @Test
    void renewalsThatAddUpToMoreThanOneAreReduced() {
        assigner.begin(0, FENCING_TOKEN);
        grant(RENEWAL_ONLY_UNTIL_MS - 2, "a", new ShareReport(0.6, FENCING_TOKEN - 1, 9));
        grant(RENEWAL_ONLY_UNTIL_MS - 1, "b", new ShareReport(0.6, FENCING_TOKEN - 1, 8));
        assertEquals(0.4, grant(RENEWAL_ONLY_UNTIL_MS, "a", NO_SHARE).fraction(), 1e-9);
        assertEquals(0.4, grant(RENEWAL_ONLY_UNTIL_MS, "b", NO_SHARE).fraction(), 1e-9);
    }

    @Test
    void aNewLeaseOfTheSameProcessRenewsOnlyAtFirst() {
        assigner.begin(0, FENCING_TOKEN);
        grant(RENEWAL_ONLY_UNTIL_MS, "a", NO_SHARE);
        assigner.end();
        assigner.begin(10_000, FENCING_TOKEN + 1);
        assertEquals(new ShareGrant(0, FENCING_TOKEN + 1, 1, true), grant(10_001, "a", NO_SHARE));
    }
}
