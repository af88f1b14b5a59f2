package dewplank.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

class ShareAssignerTest {
    private static final long TOKEN = 7;
    private static final ShareReport NOTHING = new ShareReport(0, 0, 0);
    private static final double ASSIGNS_FROM_MS = ShareLease.ASSIGNER_MS;

    private final ShareAssigner assigner = new ShareAssigner();

    private ShareGrant grant(double nowMs, String address, ShareReport report) {
        return assigner.onReport(nowMs, address, report).orElseThrow();
    }

    private static ShareReport applied(ShareGrant grant) {
        return new ShareReport(grant.fraction(), grant.fencingToken(), grant.number());
    }

    @Test
    void grantsNothingWithoutTheRole() {
        assertTrue(assigner.onReport(0, "a", NOTHING).isEmpty());
        assigner.begin(0, TOKEN);
        assertFalse(assigner.onReport(1, "a", NOTHING).isEmpty());
        assigner.end();
        assertTrue(assigner.onReport(2, "a", NOTHING).isEmpty());
    }

    @Test
    void aNewAssignerOnlyRenewsUntilItsPredecessorsSharesHaveLapsed() {
        assigner.begin(0, TOKEN);
        assertEquals(new ShareGrant(0.3, TOKEN, 1, true), grant(200, "a", new ShareReport(0.3, TOKEN - 1, 99)));
        assertEquals(new ShareGrant(0, TOKEN, 2, true), grant(ASSIGNS_FROM_MS - 1, "b", NOTHING));
        assertEquals(new ShareGrant(0.5, TOKEN, 3, false), grant(ASSIGNS_FROM_MS, "b", NOTHING));
    }

    @Test
    void theFirstOneHeardGetsAllAndTheOthersWhatItGivesBack() {
        assigner.begin(0, TOKEN);
        ShareGrant whole = grant(ASSIGNS_FROM_MS, "a", NOTHING);
        assertEquals(1, whole.fraction());
        assertEquals(0, grant(ASSIGNS_FROM_MS + 1, "b", NOTHING).fraction());
        ShareGrant half = grant(ASSIGNS_FROM_MS + 300, "a", applied(whole));
        assertEquals(0.5, half.fraction());
        assertEquals(0, grant(ASSIGNS_FROM_MS + 301, "b", NOTHING).fraction(), "not known to be applied");
        grant(ASSIGNS_FROM_MS + 600, "a", applied(half));
        assertEquals(0.5, grant(ASSIGNS_FROM_MS + 601, "b", NOTHING).fraction());
    }

    @Test
    void aReductionThatIsNeverReportedFreesTheDifferenceWhenTheLargerGrantLapses() {
        assigner.begin(0, TOKEN);
        grant(ASSIGNS_FROM_MS, "a", NOTHING);
        grant(ASSIGNS_FROM_MS + 1, "b", NOTHING);
        grant(ASSIGNS_FROM_MS + 2, "a", NOTHING);
        double lapsesAtMs = ASSIGNS_FROM_MS + ShareLease.ASSIGNER_MS;
        assertEquals(0, grant(lapsesAtMs - 1, "b", NOTHING).fraction());
        assertEquals(0.5, grant(lapsesAtMs, "b", NOTHING).fraction());
    }

    @Test
    void aReportUnderAnotherTokenFreesNothing() {
        assigner.begin(0, TOKEN);
        grant(ASSIGNS_FROM_MS, "a", NOTHING);
        grant(ASSIGNS_FROM_MS + 1, "b", NOTHING);
        ShareGrant half = grant(ASSIGNS_FROM_MS + 2, "a", NOTHING);
        grant(ASSIGNS_FROM_MS + 3, "a", new ShareReport(0, TOKEN - 1, half.number()));
        assertEquals(0, grant(ASSIGNS_FROM_MS + 4, "b", NOTHING).fraction());
    }

    @Test
    void whatALostControlPlaneHeldIsAssignedAnewOnceItLapsed() {
        assigner.begin(0, TOKEN);
        ShareGrant first = grant(ASSIGNS_FROM_MS - 1, "b", NOTHING);
        ShareGrant half = grant(ASSIGNS_FROM_MS, "a", NOTHING);
        assertEquals(0.5, half.fraction());
        assertEquals(0.5, grant(ASSIGNS_FROM_MS + 1, "b", applied(first)).fraction());
        double lapsesAtMs = ASSIGNS_FROM_MS + ShareLease.ASSIGNER_MS;
        assertEquals(0.5, grant(lapsesAtMs - 1, "b", NOTHING).fraction());
        assertEquals(1, grant(lapsesAtMs, "b", NOTHING).fraction());
    }

    @Test
    void aRestartedControlPlaneGetsItsShareAtOnce() {
        assigner.begin(0, TOKEN);
        grant(ASSIGNS_FROM_MS - 1, "b", NOTHING);
        ShareGrant half = grant(ASSIGNS_FROM_MS, "a", NOTHING);
        grant(ASSIGNS_FROM_MS + 1, "b", NOTHING);
        grant(ASSIGNS_FROM_MS + 2, "a", applied(half));
        assertEquals(0.5, grant(ASSIGNS_FROM_MS + 3, "a", NOTHING).fraction());
    }

    @Test
    void aLateReportOfAnEarlierIncarnationFreesNothingOfItsSuccessors() {
        assigner.begin(0, TOKEN);
        ShareGrant whole = grant(ASSIGNS_FROM_MS, "a", NOTHING);
        grant(ASSIGNS_FROM_MS + 1, "a", NOTHING);
        grant(ASSIGNS_FROM_MS + 2, "b", NOTHING);
        grant(ASSIGNS_FROM_MS + 3, "a", applied(whole));
        assertEquals(0, grant(ASSIGNS_FROM_MS + 4, "b", NOTHING).fraction());
    }

    /** Two delayed reports may name more than there is: neither is raised before one of them has lapsed. */
    @Test
    void renewalsThatAddUpToMoreThanTheWholeAreLowered() {
        assigner.begin(0, TOKEN);
        grant(ASSIGNS_FROM_MS - 2, "a", new ShareReport(0.6, TOKEN - 1, 9));
        grant(ASSIGNS_FROM_MS - 1, "b", new ShareReport(0.6, TOKEN - 1, 8));
        assertEquals(0.4, grant(ASSIGNS_FROM_MS, "a", NOTHING).fraction(), 1e-9);
        assertEquals(0.4, grant(ASSIGNS_FROM_MS, "b", NOTHING).fraction(), 1e-9);
    }

    @Test
    void aNewLeaseOfTheSameProcessWaitsAnew() {
        assigner.begin(0, TOKEN);
        grant(ASSIGNS_FROM_MS, "a", NOTHING);
        assigner.end();
        assigner.begin(10_000, TOKEN + 1);
        assertEquals(new ShareGrant(0, TOKEN + 1, 1, true), grant(10_001, "a", NOTHING));
    }
}
