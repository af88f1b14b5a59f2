package dewplank.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/**
 * Checks a report that is delayed during a change of the assigner: it must not restore or raise a share that has been
 * assigned to another control plane in the meantime.
 */
class AssignerChangeTest {
    private static final double RENEWAL_ONLY_UNTIL_MS = ShareLease.IN_FORCE_MS;

    private final ShareAssigner predecessor = new ShareAssigner();
    private final ShareAssigner successor = new ShareAssigner();
    private final LeasedShare first = new LeasedShare();
    private final LeasedShare second = new LeasedShare();

    /** Sends and acknowledges a heartbeat without delay. */
    private static void renew(double nowMs, ShareAssigner assigner, String address, LeasedShare share) {
        renew(nowMs, nowMs, share.report(nowMs), assigner, address, share);
    }

    /** Acknowledges a heartbeat that was sent earlier. */
    private static void renew(
            double nowMs,
            double sentAtMs,
            ShareReport report,
            ShareAssigner assigner,
            String address,
            LeasedShare share) {
        ShareGrant grant = assigner.onReport(nowMs, address, report).orElseThrow();
        share.onGrant(nowMs, sentAtMs, grant);
    }

    @Test
    void aShareThatExpiredInTheMeantimeIsNotRestored() {
        predecessor.begin(0, 1);
        renew(RENEWAL_ONLY_UNTIL_MS - 1, predecessor, "second", second);
        renew(RENEWAL_ONLY_UNTIL_MS, predecessor, "first", first);
        double sentAtMs = first.expiresAtMs() - 1;
        ShareReport delayed = first.report(sentAtMs);
        assertEquals(0.5, delayed.fraction());

        double reassignedAtMs = RENEWAL_ONLY_UNTIL_MS + ShareLease.IN_FORCE_MS;
        renew(reassignedAtMs, predecessor, "second", second);
        assertEquals(1, second.fraction(reassignedAtMs));
        predecessor.end();
        successor.begin(reassignedAtMs + 1, 2);
        renew(reassignedAtMs + 2, sentAtMs, delayed, successor, "first", first);
        assertEquals(1, first.fraction(reassignedAtMs + 2) + second.fraction(reassignedAtMs + 2));
    }

    @Test
    void aShareThatWasReducedInTheMeantimeIsNotRaised() {
        predecessor.begin(0, 1);
        renew(RENEWAL_ONLY_UNTIL_MS, predecessor, "first", first);
        double sentAtMs = RENEWAL_ONLY_UNTIL_MS + 300;
        ShareReport delayed = first.report(sentAtMs);
        assertEquals(1, delayed.fraction());

        renew(RENEWAL_ONLY_UNTIL_MS + 301, predecessor, "second", second);
        renew(RENEWAL_ONLY_UNTIL_MS + 302, predecessor, "first", first);
        renew(RENEWAL_ONLY_UNTIL_MS + 602, predecessor, "first", first);
        renew(RENEWAL_ONLY_UNTIL_MS + 603, predecessor, "second", second);
        assertEquals(0.5, second.fraction(RENEWAL_ONLY_UNTIL_MS + 603));
        predecessor.end();
        successor.begin(RENEWAL_ONLY_UNTIL_MS + 604, 2);
        renew(RENEWAL_ONLY_UNTIL_MS + 605, sentAtMs, delayed, successor, "first", first);
        assertEquals(1, first.fraction(RENEWAL_ONLY_UNTIL_MS + 605) + second.fraction(RENEWAL_ONLY_UNTIL_MS + 605));
    }
}
