package dewplank.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class LeasedShareTest {
    private static final double SENT_AT_MS = 1_000;
    private static final double EXPIRES_AT_MS = SENT_AT_MS + ShareLease.USABLE_MS;

    private final LeasedShare share = new LeasedShare();

    private static ShareGrant assigned(double fraction, long fencingToken, long number) {
        return new ShareGrant(fraction, fencingToken, number, false);
    }

    private static ShareGrant renewed(double fraction, long fencingToken, long number) {
        return new ShareGrant(fraction, fencingToken, number, true);
    }

    @Test
    void hasNoShareBeforeTheFirstGrant() {
        assertEquals(0, share.fraction(0));
        assertEquals(new ShareReport(0, 0, 0), share.report(0));
    }

    @Test
    void theLeaseStartsWhenTheHeartbeatIsSent() {
        share.onGrant(SENT_AT_MS + 500, SENT_AT_MS, assigned(0.2, 7, 3));
        assertEquals(EXPIRES_AT_MS, share.expiresAtMs());
        assertEquals(0.2, share.fraction(EXPIRES_AT_MS - 1));
        assertEquals(0, share.fraction(EXPIRES_AT_MS));
    }

    @Test
    void reportsTheLastAppliedGrantAfterItsExpiry() {
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.2, 7, 3));
        assertEquals(new ShareReport(0.2, 7, 3), share.report(SENT_AT_MS));
        assertEquals(new ShareReport(0, 7, 3), share.report(EXPIRES_AT_MS));
    }

    @Test
    void outdatedGrantsAreIgnored() {
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.2, 7, 3));
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.5, 7, 2));
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.5, 7, 3));
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.5, 6, 9));
        assertEquals(new ShareReport(0.2, 7, 3), share.report(SENT_AT_MS));
    }

    @Test
    void grantsOfASuccessorReplaceThoseOfItsPredecessor() {
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.2, 7, 3));
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.5, 8, 1));
        assertEquals(new ShareReport(0.5, 8, 1), share.report(SENT_AT_MS));
    }

    @Test
    void aLaterGrantMayShortenTheLease() {
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.2, 7, 3));
        share.onGrant(SENT_AT_MS, SENT_AT_MS - 300, assigned(0.2, 7, 4));
        assertEquals(EXPIRES_AT_MS - 300, share.expiresAtMs());
    }

    @Test
    void aRenewalExtendsTheLease() {
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.2, 7, 3));
        share.onGrant(EXPIRES_AT_MS - 1, EXPIRES_AT_MS - 300, renewed(0.2, 8, 1));
        assertEquals(0.2, share.fraction(EXPIRES_AT_MS));
    }

    @Test
    void aRenewalNeitherRaisesNorRestoresAShare() {
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.2, 7, 3));
        share.onGrant(SENT_AT_MS, SENT_AT_MS, renewed(0.5, 8, 1));
        assertEquals(0.2, share.fraction(SENT_AT_MS));
        share.onGrant(EXPIRES_AT_MS, EXPIRES_AT_MS - 1, renewed(0.2, 8, 2));
        assertEquals(0, share.fraction(EXPIRES_AT_MS));
    }

    @Test
    void aRenewalMayLowerAShare() {
        share.onGrant(SENT_AT_MS, SENT_AT_MS, assigned(0.5, 7, 3));
        share.onGrant(SENT_AT_MS, SENT_AT_MS, renewed(0.2, 8, 1));
        assertEquals(0.2, share.fraction(SENT_AT_MS));
    }
}
