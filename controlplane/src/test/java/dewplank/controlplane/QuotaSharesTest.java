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

/** Shares of quotas as heartbeats ask for them, and as the lease holder of the role grants them. */
class QuotaSharesTest {
    private static final double HEARTBEAT_INTERVAL_MS = 300;
    /** The lease of a share as its assigner counts it. */
    private static final double ASSIGNER_LEASE_MS = 4_080;
    /** The lease of a share as its user counts it. */
    private static final double USER_LEASE_MS = 3_920;
    /** Of heartbeats, until everything of an earlier assigner has lapsed and reductions were reported. */
    private static final int SETTLING_ROUNDS = 20;
    /** More heartbeats than are remembered. */
    private static final int MANY_HEARTBEATS = 20;

    private static final double ROUNDING_ERROR = 1e-9;

    private static final class TestRole implements SingletonRole {
        private boolean held;
        private long token;

        @Override
        public boolean isLeaseHolder() {
            return held;
        }

        @Override
        public long fencingToken() {
            return token;
        }
    }

    /** A share as its holder was told of it. */
    private record Held(double fraction, double endsAtMs) {}

    /** One control plane, and what it was told of its share. */
    private final class Node {
        private final String address;
        private final TestRole role = new TestRole();
        private final List<Held> held = new ArrayList<>();
        private final QuotaShares shares;
        private long sequence;

        private Node(String address) {
            this.address = address;
            shares = new QuotaShares(time, address, role, (now, fraction, end) -> held.add(new Held(fraction, end)));
        }

        private void winRole() {
            role.held = true;
            role.token = ++lastToken;
        }

        private void loseRole() {
            role.held = false;
        }

        private ControlHeartbeat beginHeartbeat() {
            QuotaShareReport report = shares.beginHeartbeat(++sequence);
            return new ControlHeartbeat(sequence, List.of(), List.of(), List.of(), report);
        }

        private HeartbeatAck acknowledge(Node sender, ControlHeartbeat heartbeat) {
            return new HeartbeatAck(heartbeat.sequence, true, List.of(), shares.grantFor(sender.address, heartbeat));
        }

        /** The share that it counts on now. */
        private double fraction() {
            Held last = held.isEmpty() ? new Held(0, 0) : held.get(held.size() - 1);
            return time.now() < last.endsAtMs() ? last.fraction() : 0;
        }
    }

    private final VirtualTime time = new VirtualTime();
    private long lastToken = 40;
    private final Node first = new Node("10.0.0.1:1");
    private final Node second = new Node("10.0.0.2:1");
    private final List<Node> nodes = List.of(first, second);

    /** All send a heartbeat to all others, which acknowledge it at once. */
    private void exchangeHeartbeats() {
        for (Node sender : nodes) {
            ControlHeartbeat heartbeat = sender.beginHeartbeat();
            for (Node receiver : nodes) {
                if (receiver != sender) {
                    sender.shares.onAcknowledged(receiver.acknowledge(sender, heartbeat));
                }
            }
        }
        assertTrue(first.fraction() + second.fraction() <= 1 + ROUNDING_ERROR, "more than the whole is in force");
    }

    private void exchangeHeartbeats(int rounds) {
        for (int round = 0; round < rounds; round++) {
            time.run(HEARTBEAT_INTERVAL_MS);
            exchangeHeartbeats();
        }
    }

    /** The first control plane holds the role, and both hold half of all limits. */
    private void settle() {
        first.winRole();
        exchangeHeartbeats(SETTLING_ROUNDS);
    }

    // ---- who assigns -----------------------------------------------------------------------------------

    @Test
    void theLeaseHolderAssignsAnEqualShareToItselfAndToItsPeer() {
        settle();
        assertEquals(0.5, first.fraction(), ROUNDING_ERROR);
        assertEquals(0.5, second.fraction(), ROUNDING_ERROR);
    }

    @Test
    void aNewLeaseHolderAssignsNothingThatItsPredecessorMayHaveAssigned() {
        first.winRole();
        exchangeHeartbeats();
        int roundsOfLease = (int) (ASSIGNER_LEASE_MS / HEARTBEAT_INTERVAL_MS);
        for (int round = 0; round < roundsOfLease; round++) {
            time.run(HEARTBEAT_INTERVAL_MS);
            exchangeHeartbeats();
            assertEquals(0, first.fraction());
            assertEquals(0, second.fraction());
        }
    }

    @Test
    void sharesAreRenewedWithoutABreakWhenTheRolePassesOn() {
        settle();
        first.loseRole();
        second.winRole();
        for (int round = 0; round < 2 * SETTLING_ROUNDS; round++) {
            time.run(HEARTBEAT_INTERVAL_MS);
            exchangeHeartbeats();
            assertEquals(0.5, first.fraction(), ROUNDING_ERROR);
            assertEquals(0.5, second.fraction(), ROUNDING_ERROR);
        }
    }

    @Test
    void nobodyIsGrantedAnythingByOneWithoutTheRole() {
        exchangeHeartbeats(SETTLING_ROUNDS);
        assertNull(first.acknowledge(second, second.beginHeartbeat()).quotaShare);
        assertEquals(List.of(), first.held);
        assertEquals(List.of(), second.held);
    }

    @Test
    void nothingIsGrantedOnceTheRoleIsLost() {
        settle();
        first.loseRole();
        assertNull(first.acknowledge(second, second.beginHeartbeat()).quotaShare);
        first.held.clear();
        first.beginHeartbeat();
        assertEquals(List.of(), first.held, "it renews its own share no more");
    }

    @Test
    void sharesEndALeaseAfterTheRoleIsVacant() {
        settle();
        first.loseRole();
        time.run(USER_LEASE_MS - 1);
        assertEquals(0.5, second.fraction(), ROUNDING_ERROR);
        time.run(1);
        assertEquals(0, first.fraction());
        assertEquals(0, second.fraction());
        assertEquals(0, second.beginHeartbeat().quotaShare.fraction);
    }

    /** Another control plane may have held the role, and assigned shares, between two heartbeats. */
    @Test
    void aRoleThatWasLostAndWonAgainBeginsWithRenewals() {
        settle();
        first.winRole();
        QuotaShareGrant grant = first.acknowledge(second, second.beginHeartbeat()).quotaShare;
        assertEquals(lastToken, grant.fencingToken);
        assertTrue(grant.renewalOnly);
        assertEquals(0.5, grant.fraction, ROUNDING_ERROR);
    }

    /** A relay, or a process of an earlier release. */
    @Test
    void aPeerThatReportsNoShareIsGrantedNone() {
        settle();
        assertNull(first.shares.grantFor("10.0.0.3:1", new ControlHeartbeat(1, List.of(), List.of())));
        exchangeHeartbeats(SETTLING_ROUNDS);
        assertEquals(0.5, first.fraction(), ROUNDING_ERROR);
    }

    @Test
    void theShareOfOneThatIsNotHeardAnyMoreIsAssignedAnew() {
        settle();
        for (int round = 0; round < SETTLING_ROUNDS; round++) {
            time.run(HEARTBEAT_INTERVAL_MS);
            first.beginHeartbeat();
            assertTrue(first.fraction() + second.fraction() <= 1 + ROUNDING_ERROR);
        }
        assertEquals(1, first.fraction(), ROUNDING_ERROR);
    }

    // ---- from when a grant counts ----------------------------------------------------------------------

    @Test
    void aGrantCountsFromWhenExactlyItsHeartbeatWasSent() {
        settle();
        ControlHeartbeat delayed = second.beginHeartbeat();
        double sentAt = time.now();
        time.run(HEARTBEAT_INTERVAL_MS);
        HeartbeatAck ack = first.acknowledge(second, delayed);
        second.beginHeartbeat();
        time.run(HEARTBEAT_INTERVAL_MS);
        second.held.clear();
        second.shares.onAcknowledged(ack);
        assertEquals(List.of(new Held(0.5, sentAt + USER_LEASE_MS)), second.held);
    }

    @Test
    void anAcknowledgementOfAForgottenHeartbeatGrantsNothing() {
        settle();
        ControlHeartbeat forgotten = second.beginHeartbeat();
        HeartbeatAck ack = first.acknowledge(second, forgotten);
        assertNotNull(ack.quotaShare);
        for (int i = 0; i < MANY_HEARTBEATS; i++) {
            second.beginHeartbeat();
        }
        second.held.clear();
        second.shares.onAcknowledged(ack);
        assertEquals(List.of(), second.held);
    }

    /** An earlier incarnation's, at the same address. */
    @Test
    void anAcknowledgementOfAHeartbeatThatWasNotSentGrantsNothing() {
        settle();
        second.held.clear();
        QuotaShareGrant grant = new QuotaShareGrant(1, lastToken, Long.MAX_VALUE, false);
        second.shares.onAcknowledged(new HeartbeatAck(second.sequence + 1, true, List.of(), grant));
        assertEquals(List.of(), second.held);
    }

    @Test
    void anEarlierGrantThatArrivesLateChangesNothing() {
        settle();
        HeartbeatAck late = first.acknowledge(second, second.beginHeartbeat());
        time.run(HEARTBEAT_INTERVAL_MS);
        exchangeHeartbeats();
        Held newest = second.held.get(second.held.size() - 1);
        second.shares.onAcknowledged(late);
        assertEquals(newest, second.held.get(second.held.size() - 1));
    }

    @Test
    void anAcknowledgementWithoutAGrantChangesNothing() {
        settle();
        second.held.clear();
        second.shares.onAcknowledged(new HeartbeatAck(second.sequence, true, List.of()));
        assertEquals(List.of(), second.held);
    }
}
