package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.message.ControlHeartbeat;
import dewplank.message.HeartbeatAck;
import dewplank.message.QuotaShareGrant;
import dewplank.message.QuotaShareReport;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the quota shares that control planes request in heartbeats and that the lease holder grants. */
class QuotaSharesTest {
    private static final double HEARTBEAT_INTERVAL_MS = 300;
    /** The lease of a share as its assigner counts it. */
    private static final double ASSIGNER_LEASE_MS = 4_080;
    /** The lease of a share as its user counts it. */
    private static final double USER_LEASE_MS = 3_920;
    /** Rounds of heartbeats in which all grants of an earlier assigner expire and reductions are reported. */
    private static final int REASSIGNMENT_ROUNDS = 20;
    /** More heartbeats than {@link QuotaShares} stores. */
    private static final int MANY_HEARTBEATS = 20;

    private static final double ROUNDING_ERROR = 1e-9;

    private static final class TestRole implements SingletonRole {
        private boolean leaseHeld;
        private long token;

        @Override
        public boolean isLeaseHolder() {
            return leaseHeld;
        }

        @Override
        public long fencingToken() {
            return token;
        }
    }

    /** An update of a control plane's share. */
    private record ShareUpdate(double fraction, double expiresAtMs) {}

    /** One control plane, and the updates of its share. */
    private final class Node {
        private final String address;
        private final TestRole role = new TestRole();
        private final List<ShareUpdate> shareUpdates = new ArrayList<>();
        private final QuotaShares shares;
        private long sequence;

        private Node(String address) {
            this.address = address;
            shares = new QuotaShares(
                    time, address, role, (now, fraction, end) -> shareUpdates.add(new ShareUpdate(fraction, end)));
        }

        private void acquireRole() {
            role.leaseHeld = true;
            role.token = ++lastToken;
        }

        private void loseRole() {
            role.leaseHeld = false;
        }

        private ControlHeartbeat beginHeartbeat() {
            QuotaShareReport report = shares.beginHeartbeat(++sequence);
            return new ControlHeartbeat(sequence, List.of(), List.of(), List.of(), report);
        }

        private HeartbeatAck acknowledge(Node sender, ControlHeartbeat heartbeat) {
            return new HeartbeatAck(heartbeat.sequence, true, List.of(), shares.grantFor(sender.address, heartbeat));
        }

        /** The share that is in force now. */
        private double fraction() {
            ShareUpdate last =
                    shareUpdates.isEmpty() ? new ShareUpdate(0, 0) : shareUpdates.get(shareUpdates.size() - 1);
            return time.now() < last.expiresAtMs() ? last.fraction() : 0;
        }
    }

    private final VirtualTime time = new VirtualTime();
    private long lastToken = 40;
    private final Node first = new Node("10.0.0.1:1");
    private final Node second = new Node("10.0.0.2:1");
    private final List<Node> nodes = List.of(first, second);

    /** Each node sends a heartbeat to all others, which acknowledge it immediately. */
    private void exchangeHeartbeats() {
        for (Node sender : nodes) {
            ControlHeartbeat heartbeat = sender.beginHeartbeat();
            for (Node receiver : nodes) {
                if (receiver != sender) {
                    sender.shares.onAcknowledged(receiver.acknowledge(sender, heartbeat));
                }
            }
        }
        assertTrue(
                first.fraction() + second.fraction() <= 1 + ROUNDING_ERROR,
                "the shares in force add up to more than 1");
    }

    private void exchangeHeartbeats(int rounds) {
        for (int round = 0; round < rounds; round++) {
            time.advance(HEARTBEAT_INTERVAL_MS);
            exchangeHeartbeats();
        }
    }

    /** Makes the first control plane the lease holder, and runs rounds until both have half of all limits. */
    private void assignEqualShares() {
        first.acquireRole();
        exchangeHeartbeats(REASSIGNMENT_ROUNDS);
    }

    // ---- assignment ------------------------------------------------------------------------------------

    @Test
    void theLeaseHolderAssignsAnEqualShareToItselfAndToItsPeer() {
        assignEqualShares();
        assertEquals(0.5, first.fraction(), ROUNDING_ERROR);
        assertEquals(0.5, second.fraction(), ROUNDING_ERROR);
    }

    @Test
    void aNewLeaseHolderGrantsNoSharesThatItsPredecessorMayHaveAssigned() {
        first.acquireRole();
        exchangeHeartbeats();
        int roundsOfLease = (int) (ASSIGNER_LEASE_MS / HEARTBEAT_INTERVAL_MS);
        for (int round = 0; round < roundsOfLease; round++) {
            time.advance(HEARTBEAT_INTERVAL_MS);
            exchangeHeartbeats();
            assertEquals(0, first.fraction());
            assertEquals(0, second.fraction());
        }
    }

    @Test
    void sharesAreRenewedWithoutInterruptionWhenTheLeaseHolderChanges() {
        assignEqualShares();
        first.loseRole();
        second.acquireRole();
        for (int round = 0; round < 2 * REASSIGNMENT_ROUNDS; round++) {
            time.advance(HEARTBEAT_INTERVAL_MS);
            exchangeHeartbeats();
            assertEquals(0.5, first.fraction(), ROUNDING_ERROR);
            assertEquals(0.5, second.fraction(), ROUNDING_ERROR);
        }
    }

    @Test
    void aControlPlaneWithoutTheRoleGrantsNoShares() {
        exchangeHeartbeats(REASSIGNMENT_ROUNDS);
        assertNull(first.acknowledge(second, second.beginHeartbeat()).quotaShare);
        assertEquals(List.of(), first.shareUpdates);
        assertEquals(List.of(), second.shareUpdates);
    }

    @Test
    void aControlPlaneGrantsNoSharesAfterItLosesTheRole() {
        assignEqualShares();
        first.loseRole();
        assertNull(first.acknowledge(second, second.beginHeartbeat()).quotaShare);
        first.shareUpdates.clear();
        first.beginHeartbeat();
        assertEquals(List.of(), first.shareUpdates, "renewed its own share without the role");
    }

    @Test
    void sharesExpireOneLeaseAfterTheRoleBecomesVacant() {
        assignEqualShares();
        first.loseRole();
        time.advance(USER_LEASE_MS - 1);
        assertEquals(0.5, second.fraction(), ROUNDING_ERROR);
        time.advance(1);
        assertEquals(0, first.fraction());
        assertEquals(0, second.fraction());
        assertEquals(0, second.beginHeartbeat().quotaShare.fraction);
    }

    /** Between two heartbeats, another control plane may have held the role and assigned shares. */
    @Test
    void aReacquiredRoleStartsWithRenewals() {
        assignEqualShares();
        first.acquireRole();
        QuotaShareGrant grant = first.acknowledge(second, second.beginHeartbeat()).quotaShare;
        assertEquals(lastToken, grant.fencingToken);
        assertTrue(grant.renewalOnly);
        assertEquals(0.5, grant.fraction, ROUNDING_ERROR);
    }

    /** Such a peer has no disk or runs an earlier release. */
    @Test
    void aPeerThatReportsNoShareReceivesNoGrant() {
        assignEqualShares();
        assertNull(first.shares.grantFor("10.0.0.3:1", new ControlHeartbeat(1, List.of(), List.of())));
        exchangeHeartbeats(REASSIGNMENT_ROUNDS);
        assertEquals(0.5, first.fraction(), ROUNDING_ERROR);
    }

    @Test
    void theShareOfAPeerWithoutHeartbeatsIsReassigned() {
        assignEqualShares();
        for (int round = 0; round < REASSIGNMENT_ROUNDS; round++) {
            time.advance(HEARTBEAT_INTERVAL_MS);
            first.beginHeartbeat();
            assertTrue(first.fraction() + second.fraction() <= 1 + ROUNDING_ERROR);
        }
        assertEquals(1, first.fraction(), ROUNDING_ERROR);
    }

    // ---- start of a grant's lease ----------------------------------------------------------------------

    @Test
    void theLeaseOfAGrantStartsWhenItsHeartbeatWasSent() {
        assignEqualShares();
        ControlHeartbeat delayed = second.beginHeartbeat();
        double sentAt = time.now();
        time.advance(HEARTBEAT_INTERVAL_MS);
        HeartbeatAck ack = first.acknowledge(second, delayed);
        second.beginHeartbeat();
        time.advance(HEARTBEAT_INTERVAL_MS);
        second.shareUpdates.clear();
        second.shares.onAcknowledged(ack);
        assertEquals(List.of(new ShareUpdate(0.5, sentAt + USER_LEASE_MS)), second.shareUpdates);
    }

    @Test
    void anAcknowledgementOfADiscardedHeartbeatIsIgnored() {
        assignEqualShares();
        ControlHeartbeat discarded = second.beginHeartbeat();
        HeartbeatAck ack = first.acknowledge(second, discarded);
        assertNotNull(ack.quotaShare);
        for (int i = 0; i < MANY_HEARTBEATS; i++) {
            second.beginHeartbeat();
        }
        second.shareUpdates.clear();
        second.shares.onAcknowledged(ack);
        assertEquals(List.of(), second.shareUpdates);
    }

    /** The heartbeat was sent by an earlier incarnation at the same address. */
    @Test
    void anAcknowledgementOfAHeartbeatThatWasNotSentIsIgnored() {
        assignEqualShares();
        second.shareUpdates.clear();
        QuotaShareGrant grant = new QuotaShareGrant(1, lastToken, Long.MAX_VALUE, false);
        second.shares.onAcknowledged(new HeartbeatAck(second.sequence + 1, true, List.of(), grant));
        assertEquals(List.of(), second.shareUpdates);
    }

    @Test
    void anOlderGrantThatArrivesLateIsIgnored() {
        assignEqualShares();
        HeartbeatAck late = first.acknowledge(second, second.beginHeartbeat());
        time.advance(HEARTBEAT_INTERVAL_MS);
        exchangeHeartbeats();
        ShareUpdate newest = second.shareUpdates.get(second.shareUpdates.size() - 1);
        second.shares.onAcknowledged(late);
        assertEquals(newest, second.shareUpdates.get(second.shareUpdates.size() - 1));
    }

    @Test
    void anAcknowledgementWithoutAGrantIsIgnored() {
        assignEqualShares();
        second.shareUpdates.clear();
        second.shares.onAcknowledged(new HeartbeatAck(second.sequence, true, List.of()));
        assertEquals(List.of(), second.shareUpdates);
    }
}
