package dewplank.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class HeldShareTest {
    private static final double SENT_AT_MS = 1_000;
    private static final double ENDS_AT_MS = SENT_AT_MS + ShareLease.USER_MS;

    private final HeldShare share = new HeldShare();

    private static ShareGrant assigned(double fraction, long fencingToken, long number) {
        return new ShareGrant(fraction, fencingToken, number, false);
    }

    private static ShareGrant renewed(double fraction, long fencingToken, long number) {
        return new ShareGrant(fraction, fencingToken, number, true);
    }

    @Test
    void holdsNothingBeforeTheFirstGrant() {
        assertEquals(0, share.fraction(0));
        assertEquals(new ShareReport(0, 0, 0), share.report(0));
    }

    @Test
    void theLeaseCountsFromWhenTheHeartbeatWasSent() {
        share.onGrant(SENT_AT_MS + 500, SENT_AT_MS, assigned(0.2, 7, 3));
        assertEquals(ENDS_AT_MS, share.endsAtMs());
        assertEquals(0.2, share.fraction(ENDS_AT_MS - 1));
        assertEquals(0, share.fraction(ENDS_AT_MS));
    }

    @Test
    void reportsTheGrantThatWasAppliedLastEvenOnceItEnded() {
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.2, 7, 3));
        assertEquals(new ShareReport(0.2, 7, 3), share.report(SENT_AT_MS));
        assertEquals(new ShareReport(0, 7, 3), share.report(ENDS_AT_MS));
    }

    @Test
    void grantsThatWereOvertakenAreIgnored() {
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.2, 7, 3));
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.5, 7, 2));
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.5, 7, 3));
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.5, 6, 9));
        assertEquals(new ShareReport(0.2, 7, 3), share.report(SENT_AT_MS));
    }

    @Test
    void aSuccessorsGrantsGoBeforeThoseOfItsPredecessor() {
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.2, 7, 3));
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.5, 8, 1));
        assertEquals(new ShareReport(0.5, 8, 1), share.report(SENT_AT_MS));
    }

    @Test
    void aLaterGrantMayEndTheShareEarlier() {
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.2, 7, 3));
        share.onGrant(SENT_AT_MS, SENT_AT_MS - 300, assigned(0.2, 7, 4));
        assertEquals(ENDS_AT_MS - 300, share.endsAtMs());
    }

    @Test
    void aRenewalLengthensWhatIsHeld() {
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.2, 7, 3));
        share.onGrant(ENDS_AT_MS - 1, ENDS_AT_MS - 300, renewed(0.2, 8, 1));
        assertEquals(0.2, share.fraction(ENDS_AT_MS));
    }

    @Test
    void aRenewalNeitherRaisesNorRevivesAShare() {
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.2, 7, 3));
        share.onGrant(SENT_AT_MS, SENT_AT_MS, renewed(0.5, 8, 1));
        assertEquals(0.2, share.fraction(SENT_AT_MS));
        share.onGrant(ENDS_AT_MS, ENDS_AT_MS - 1, renewed(0.2, 8, 2));
        assertEquals(0, share.fraction(ENDS_AT_MS));
    }

    @Test
    void aRenewalMayLowerAShare() {
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.5, 7, 3));
        share.onGrant(SENT_AT_MS, SENT_AT_MS, renewed(0.2, 8, 1));
        assertEquals(0.2, share.fraction(SENT_AT_MS));
    }
}
