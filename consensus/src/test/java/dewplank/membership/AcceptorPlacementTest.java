package dewplank.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.membership.AcceptorPlacement.PeerObservation;
import dewplank.membership.AcceptorPlacement.Timing;
import dewplank.register.AcceptorId;
import dewplank.register.AcceptorSet;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class AcceptorPlacementTest {
    private static final double CATCH_UP_MS = 4_000;
    private static final double CHECK_INTERVAL_MS = 100;
    private static final Timing TIMING = Timing.ofCatchUp(CATCH_UP_MS);
    private static final AcceptorId A = new AcceptorId("a:1", "disk-a");
    private static final AcceptorId B = new AcceptorId("b:1", "disk-b");
    private static final AcceptorId C = new AcceptorId("c:1", "disk-c");
    private static final AcceptorId D = new AcceptorId("d:1", "disk-d");
    private static final AcceptorId E = new AcceptorId("e:1", "disk-e");
    private static final AcceptorId A_WIPED = new AcceptorId("a:1", "disk-a2");

    private final AcceptorPlacement placement = new AcceptorPlacement(TIMING);

    private static AcceptorSet set(AcceptorId... members) {
        return AcceptorSet.of(List.of(members));
    }

    /** A peer whose last heartbeat has just arrived and whose first heartbeat arrived long ago. */
    private static PeerObservation settledPeer(double now, AcceptorId acceptor) {
        return new PeerObservation(acceptor, true, now, now - 60_000);
    }

    private static List<PeerObservation> settled(double now, AcceptorId... acceptors) {
        return Arrays.stream(acceptors).map(a -> settledPeer(now, a)).toList();
    }

    @Test
    void keepsACompleteSet() {
        assertEquals(List.of(A, B, C), placement.targetMembers(0, set(A, B, C), settled(0, A, B, C)));
    }

    /** The whole replacement has to fit into catch_up_s, so that a second loss afterwards is tolerated. */
    @Test
    void successorReplacesALostAcceptorWithinHalfOfTheCatchUpTime() {
        double startedAt = 1_000; // the last heartbeat of the lost acceptor arrived at 0
        double linkedAt = startedAt + 1_000;
        double replacedAt = Double.NaN;
        for (double now = 0; now < 10_000 && Double.isNaN(replacedAt); now += CHECK_INTERVAL_MS) {
            List<PeerObservation> peers = new ArrayList<>(settled(now, B, C));
            peers.add(new PeerObservation(A, true, 0, -60_000));
            if (now >= linkedAt) {
                peers.add(new PeerObservation(D, true, now, linkedAt));
            }
            if (!placement.targetMembers(now, set(A, B, C), peers).equals(List.of(A, B, C))) {
                assertEquals(List.of(D, B, C), placement.targetMembers(now, set(A, B, C), peers));
                replacedAt = now;
            }
        }
        assertTrue(replacedAt <= startedAt + CATCH_UP_MS / 2, "replaced too late, at " + replacedAt);
    }

    /** Two of five acceptors may be lost simultaneously; they are replaced one after the other. */
    @Test
    void replacesTwoUnresponsiveAcceptorsOfFiveInSuccession() {
        AcceptorSet set = set(A, B, C, D, E);
        AcceptorId f = new AcceptorId("f:1", "disk-f");
        AcceptorId g = new AcceptorId("g:1", "disk-g");
        assertEquals(set.members(), placement.targetMembers(0, set, settled(0, C, D, E, f, g)));
        double replaceAt = TIMING.replaceAfterMs();
        assertEquals(
                List.of(f, B, C, D, E), placement.targetMembers(replaceAt, set, settled(replaceAt, C, D, E, f, g)));
        assertEquals(
                List.of(f, g, C, D, E),
                placement.targetMembers(replaceAt + 1, set(f, B, C, D, E), settled(replaceAt + 1, C, D, E, f, g)));
    }

    @Test
    void replacesALostDiskByTheIdentityAtItsAddressAfterTheMinimumUptime() {
        PeerObservation wiped = new PeerObservation(A_WIPED, true, 100, 0);
        assertEquals(
                List.of(A, B, C),
                placement.targetMembers(100, set(A, B, C), List.of(wiped, settledPeer(100, B), settledPeer(100, C))));
        double eligibleAt = TIMING.minUptimeMs();
        assertEquals(
                List.of(A_WIPED, B, C),
                placement.targetMembers(
                        eligibleAt,
                        set(A, B, C),
                        List.of(
                                new PeerObservation(A_WIPED, true, eligibleAt, 0),
                                settledPeer(eligibleAt, B),
                                settledPeer(eligibleAt, C))));
    }

    /** Late messages of an earlier incarnation make its old identity appear as a new one at the address. */
    @Test
    void identityBelowTheMinimumUptimeReplacesNoAcceptor() {
        PeerObservation changed = new PeerObservation(A, true, 5_000, 4_990);
        assertEquals(
                List.of(A_WIPED, B, C),
                placement.targetMembers(
                        5_000, set(A_WIPED, B, C), List.of(changed, settledPeer(5_000, B), settledPeer(5_000, C))));
    }

    @Test
    void keepsAnUnresponsiveAcceptorIfThereIsNoSpare() {
        for (double now = 0; now < 60_000; now += CHECK_INTERVAL_MS) {
            assertEquals(List.of(A, B, C), placement.targetMembers(now, set(A, B, C), settled(now, B, C)));
        }
    }

    @Test
    void keepsAnAcceptorThatReturnsBeforeItsReplacement() {
        placement.targetMembers(0, set(A, B, C), settled(0, B, C, D));
        double returnedAt = TIMING.replaceAfterMs() - 1;
        assertEquals(
                List.of(A, B, C), placement.targetMembers(returnedAt, set(A, B, C), settled(returnedAt, A, B, C, D)));
        double later = returnedAt + TIMING.replaceAfterMs() - 1;
        assertEquals(List.of(A, B, C), placement.targetMembers(later, set(A, B, C), settled(later, B, C, D)));
    }

    @Test
    void growsToAnOddNumberUpToTheMaximum() {
        assertEquals(List.of(A, B, C), placement.targetMembers(0, set(A, B, C), settled(0, A, B, C, D)));
        assertEquals(List.of(A, B, C, D, E), placement.targetMembers(0, set(A, B, C), settled(0, A, B, C, D, E)));
        List<AcceptorId> many = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            many.add(new AcceptorId("m" + i, "disk-" + i));
        }
        List<PeerObservation> peers = many.stream().map(a -> settledPeer(0, a)).toList();
        assertEquals(
                AcceptorPlacement.MAX_ACCEPTORS,
                placement
                        .targetMembers(0, AcceptorSet.of(many.subList(0, 3)), peers)
                        .size());
    }

    @Test
    void keepsTheMembersOfAJointSetWithAMissingAcceptor() {
        AcceptorSet joint = new AcceptorSet(1, List.of(A, B, C), List.of(D, B, C));
        assertEquals(joint.members(), placement.targetMembers(9_000, joint, settled(9_000, B, C, D, E)));
    }

    private static AcceptorId volatileAcceptor(String address) {
        return new AcceptorId(address, AcceptorId.volatileIdentity(address, "1"));
    }

    /** An acceptor from which no heartbeat ever arrived is replaced as well: its identity shows that it has no disk. */
    @Test
    void replacesAnAcceptorWithoutADiskImmediately() {
        AcceptorId x = volatileAcceptor("x:1");
        AcceptorId y = volatileAcceptor("y:1");
        assertEquals(List.of(A, y), placement.targetMembers(0, set(x, y), settled(0, A)));
        assertEquals(List.of(B, A), placement.targetMembers(0, set(x, A), settled(0, A, B)));
    }

    @Test
    void removesAcceptorsWithoutADiskAfterTheBootstrapGracePeriod() {
        AcceptorId x = volatileAcceptor("x:1");
        AcceptorSet mixed = set(A, x);
        assertEquals(List.of(A, x), placement.targetMembers(0, mixed, settled(0, A)));
        double early = TIMING.bootstrapGraceMs() - 1;
        assertEquals(List.of(A, x), placement.targetMembers(early, mixed, settled(early, A)));
        double late = TIMING.bootstrapGraceMs();
        assertEquals(List.of(A), placement.targetMembers(late, mixed, settled(late, A)));
        assertEquals(List.of(x), placement.targetMembers(late, set(x), List.of()), "the last acceptor is not removed");
    }

    @Test
    void keepsTheMembersOfAJointSet() {
        AcceptorSet joint = new AcceptorSet(1, List.of(A, B, C), List.of(A, B, D));
        assertEquals(List.of(A, B, C), placement.targetMembers(0, joint, settled(0, A, B, D, E)));
    }
}
