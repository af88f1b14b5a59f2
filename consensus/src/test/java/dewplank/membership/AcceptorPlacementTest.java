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
    private static final double LOOK_MS = 100;
    private static final Timing TIMING = Timing.ofCatchUp(CATCH_UP_MS);
    private static final AcceptorId A = new AcceptorId("a:1", "disk-a");
    private static final AcceptorId B = new AcceptorId("b:1", "disk-b");
    private static final AcceptorId C = new AcceptorId("c:1", "disk-c");
    private static final AcceptorId D = new AcceptorId("d:1", "disk-d");
    private static final AcceptorId E = new AcceptorId("e:1", "disk-e");
    private static final AcceptorId A_AGAIN = new AcceptorId("a:1", "disk-a2");

    private final AcceptorPlacement plan = new AcceptorPlacement(TIMING);

    private static AcceptorSet set(AcceptorId... members) {
        return AcceptorSet.of(List.of(members));
    }

    /** Heard at the moment, and for long. */
    private static PeerObservation old(double now, AcceptorId acceptor) {
        return new PeerObservation(acceptor, true, now, now - 60_000);
    }

    private static List<PeerObservation> allOld(double now, AcceptorId... acceptors) {
        return Arrays.stream(acceptors).map(a -> old(now, a)).toList();
    }

    @Test
    void leavesACompleteSetAlone() {
        assertEquals(List.of(A, B, C), plan.targetMembers(0, set(A, B, C), allOld(0, A, B, C)));
    }

    /** The bound that a second loss after a replacement rests on: the whole has to fit into catch_up_s. */
    @Test
    void aSuccessorHasItsPlaceLongBeforeTheNextLossMayCome() {
        double startedAt = 1_000; // the lost one was last heard at 0
        double linkedAt = startedAt + 1_000;
        double replacedAt = Double.NaN;
        for (double now = 0; now < 10_000 && Double.isNaN(replacedAt); now += LOOK_MS) {
            List<PeerObservation> seen = new ArrayList<>(allOld(now, B, C));
            seen.add(new PeerObservation(A, true, 0, -60_000));
            if (now >= linkedAt) {
                seen.add(new PeerObservation(D, true, now, linkedAt));
            }
            if (!plan.targetMembers(now, set(A, B, C), seen).equals(List.of(A, B, C))) {
                assertEquals(List.of(D, B, C), plan.targetMembers(now, set(A, B, C), seen));
                replacedAt = now;
            }
        }
        assertTrue(replacedAt <= startedAt + CATCH_UP_MS / 2, "replaced only at " + replacedAt);
    }

    /** As many as may be lost at once are replaced, one after the other. */
    @Test
    void replacesTwoOfFive() {
        AcceptorSet set = set(A, B, C, D, E);
        AcceptorId f = new AcceptorId("f:1", "disk-f");
        AcceptorId g = new AcceptorId("g:1", "disk-g");
        assertEquals(set.members(), plan.targetMembers(0, set, allOld(0, C, D, E, f, g)));
        double gone = TIMING.replaceAfterMs();
        assertEquals(List.of(f, B, C, D, E), plan.targetMembers(gone, set, allOld(gone, C, D, E, f, g)));
        assertEquals(
                List.of(f, g, C, D, E),
                plan.targetMembers(gone + 1, set(f, B, C, D, E), allOld(gone + 1, C, D, E, f, g)));
    }

    @Test
    void aLostDiskIsReplacedByWhatLivesAtItsAddressAsSoonAsThatHasSettled() {
        PeerObservation again = new PeerObservation(A_AGAIN, true, 100, 0);
        assertEquals(List.of(A, B, C), plan.targetMembers(100, set(A, B, C), List.of(again, old(100, B), old(100, C))));
        double settled = TIMING.minUptimeMs();
        assertEquals(
                List.of(A_AGAIN, B, C),
                plan.targetMembers(
                        settled,
                        set(A, B, C),
                        List.of(new PeerObservation(A_AGAIN, true, settled, 0), old(settled, B), old(settled, C))));
    }

    /** Late words of an earlier life at the same address make the identity unsettled, not the other way round. */
    @Test
    void anIdentityThatHasJustChangedDoesNotReplaceAnybody() {
        PeerObservation flipped = new PeerObservation(A, true, 5_000, 4_990);
        assertEquals(
                List.of(A_AGAIN, B, C),
                plan.targetMembers(5_000, set(A_AGAIN, B, C), List.of(flipped, old(5_000, B), old(5_000, C))));
    }

    @Test
    void oneThatFellSilentStaysWhereNobodyCanTakeItsPlace() {
        for (double now = 0; now < 60_000; now += LOOK_MS) {
            assertEquals(List.of(A, B, C), plan.targetMembers(now, set(A, B, C), allOld(now, B, C)));
        }
    }

    @Test
    void oneThatIsHeardAgainInTimeKeepsItsPlace() {
        plan.targetMembers(0, set(A, B, C), allOld(0, B, C, D));
        double back = TIMING.replaceAfterMs() - 1;
        assertEquals(List.of(A, B, C), plan.targetMembers(back, set(A, B, C), allOld(back, A, B, C, D)));
        double later = back + TIMING.replaceAfterMs() - 1;
        assertEquals(List.of(A, B, C), plan.targetMembers(later, set(A, B, C), allOld(later, B, C, D)));
    }

    @Test
    void growsToAnOddNumber() {
        assertEquals(List.of(A, B, C), plan.targetMembers(0, set(A, B, C), allOld(0, A, B, C, D)));
        assertEquals(List.of(A, B, C, D, E), plan.targetMembers(0, set(A, B, C), allOld(0, A, B, C, D, E)));
        List<AcceptorId> many = new ArrayList<>();
        for (int i = 0; i < 12; i++) {
            many.add(new AcceptorId("m" + i, "disk-" + i));
        }
        List<PeerObservation> seen = many.stream().map(a -> old(0, a)).toList();
        assertEquals(
                AcceptorPlacement.MAX_ACCEPTORS,
                plan.targetMembers(0, AcceptorSet.of(many.subList(0, 3)), seen).size());
    }

    @Test
    void aHalfDoneChangeIsFinishedFirst() {
        AcceptorSet joint = new AcceptorSet(1, List.of(A, B, C), List.of(D, B, C));
        assertEquals(joint.members(), plan.targetMembers(9_000, joint, allOld(9_000, B, C, D, E)));
    }
}
