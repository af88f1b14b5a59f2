package dewplank.quota;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** A report that is on its way while one assigner succeeds another tells of a share that is assigned anew meanwhile. */
class ShareSuccessionTest {
    private static final double ASSIGNS_FROM_MS = ShareLease.ASSIGNER_MS;

    private final ShareAssigner predecessor = new ShareAssigner();
    private final ShareAssigner successor = new ShareAssigner();
    private final HeldShare first = new HeldShare();
    private final HeldShare second = new HeldShare();

    /** A heartbeat without delay. */
    private static void renew(double nowMs, ShareAssigner assigner, String address, HeldShare share) {
        renew(nowMs, nowMs, share.report(nowMs), assigner, address, share);
    }

    /** A heartbeat that was sent earlier and is acknowledged now. */
    private static void renew(
            double nowMs,
            double sentAtMs,
            ShareReport report,
            ShareAssigner assigner,
            String address,
            HeldShare share) {
        ShareGrant grant = assigner.onReport(nowMs, address, report).orElseThrow();
        share.onGrant(nowMs, sentAtMs, grant);
    }

    @Test
    void aShareThatLapsedMeanwhileIsNotRevived() {
        predecessor.begin(0, 1);
        renew(ASSIGNS_FROM_MS - 1, predecessor, "second", second);
        renew(ASSIGNS_FROM_MS, predecessor, "first", first);
        double sentAtMs = first.endsAtMs() - 1;
        ShareReport delayed = first.report(sentAtMs);
        assertEquals(0.5, delayed.fraction());

        double assignedAnewMs = ASSIGNS_FROM_MS + ShareLease.ASSIGNER_MS;
        renew(assignedAnewMs, predecessor, "second", second);
        assertEquals(1, second.fraction(assignedAnewMs));
        predecessor.end();
        successor.begin(assignedAnewMs + 1, 2);
        renew(assignedAnewMs + 2, sentAtMs, delayed, successor, "first", first);
        assertEquals(1, first.fraction(assignedAnewMs + 2) + second.fraction(assignedAnewMs + 2));
    }

    @Test
    void aShareThatWasLoweredMeanwhileIsNotRaised() {
        predecessor.begin(0, 1);
        renew(ASSIGNS_FROM_MS, predecessor, "first", first);
        double sentAtMs = ASSIGNS_FROM_MS + 300;
        ShareReport delayed = first.report(sentAtMs);
        assertEquals(1, delayed.fraction());

        renew(ASSIGNS_FROM_MS + 301, predecessor, "second", second);
        renew(ASSIGNS_FROM_MS + 302, predecessor, "first", first);
        renew(ASSIGNS_FROM_MS + 602, predecessor, "first", first);
        renew(ASSIGNS_FROM_MS + 603, predecessor, "second", second);
        assertEquals(0.5, second.fraction(ASSIGNS_FROM_MS + 603));
        predecessor.end();
        successor.begin(ASSIGNS_FROM_MS + 604, 2);
        renew(ASSIGNS_FROM_MS + 605, sentAtMs, delayed, successor, "first", first);
        assertEquals(1, first.fraction(ASSIGNS_FROM_MS + 605) + second.fraction(ASSIGNS_FROM_MS + 605));
    }
}
