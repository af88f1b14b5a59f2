package dewplank.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;

class SessionTableTest {
    private final SessionTable table = new SessionTable(2_000);

    private static Member member(String node, long incarnation) {
        return new Member(node, Member.DATA, "10.1.0.1:7661", "z", incarnation);
    }

    @Test
    void dataPlaneIsAMemberWhileItHasASessionWithAnyControlPlane() {
        table.renew(0, member("a", 1));
        table.onSessionsReported(0, "other", List.of(member("a", 1), member("b", 1)));
        assertEquals(2, table.members(1_900).size());
        table.renew(1_900, member("a", 1));
        assertEquals(List.of(member("a", 1)), table.members(2_100));
        table.close(member("a", 1));
        assertTrue(table.members(2_200).isEmpty());
    }

    @Test
    void memberThatIsNoLongerReportedIsRemoved() {
        table.onSessionsReported(0, "other", List.of(member("a", 1)));
        table.onSessionsReported(300, "other", List.of());
        assertTrue(table.members(301).isEmpty());
    }

    @Test
    void laterIncarnationReplacesTheEarlierOne() {
        table.onSessionsReported(0, "other", List.of(member("a", 1)));
        table.renew(0, member("a", 2));
        assertEquals(List.of(member("a", 2)), table.members(1));
    }

    @Test
    void digestDiffersForDifferentMembers() {
        long one = SessionTable.digest(List.of(member("a", 1)));
        assertEquals(one, SessionTable.digest(List.of(member("a", 1))));
        assertNotEquals(one, SessionTable.digest(List.of(member("a", 2))));
        assertNotEquals(0, SessionTable.digest(List.of()));
    }

    @Test
    void localSessionsAreLimitedButOpenOnesCanBeRenewed() {
        for (int i = 0; i < SessionTable.MAX_SESSIONS; i++) {
            assertEquals(SessionTable.Renewal.RENEWED, table.renew(0, member("n" + i, 1)));
        }
        assertEquals(SessionTable.Renewal.REJECTED_MAX_SESSIONS, table.renew(0, member("one more", 1)));
        assertEquals(SessionTable.Renewal.RENEWED, table.renew(0, member("n0", 1)), "an open session can be renewed");
    }

    @Test
    void leasesExpireOnTimeAndAreExtendedByAStall() {
        assertEquals(2_000, table.leaseMs());
        table.renew(0, member("a", 1));
        table.onSessionsReported(0, "other", List.of(member("b", 1)));
        assertEquals(2, table.members(2_000).size());
        table.extendLeases(500);
        assertEquals(List.of(member("a", 1), member("b", 1)), table.members(2_500));
        assertEquals(List.of(member("a", 1)), table.localSessions(2_500));
        assertTrue(table.members(2_501).isEmpty());
    }

    @Test
    void membersAreSortedByNode() {
        table.renew(0, member("c", 1));
        table.renew(0, member("a", 1));
        table.onSessionsReported(0, "other", List.of(member("b", 1)));
        assertEquals(List.of(member("a", 1), member("b", 1), member("c", 1)), table.members(1));
    }

    @Test
    void digestDependsOnTheOrder() {
        long inOrder = SessionTable.digest(List.of(member("a", 1), member("b", 1)));
        assertNotEquals(inOrder, SessionTable.digest(List.of(member("b", 1), member("a", 1))));
    }
}
