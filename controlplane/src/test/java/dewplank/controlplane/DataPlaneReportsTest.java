package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.membership.Member;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the stored reports of the configuration versions that data planes report in heartbeats. */
class DataPlaneReportsTest {
    private static final double DAY_MS = DataPlaneReports.RETENTION_MS;

    private final DataPlaneReports reports = new DataPlaneReports();

    private static Member member(String node, long incarnation) {
        return new Member(node, Member.DATA, "10.0.0.1:1", "z", incarnation);
    }

    private DataPlaneReports.Report onlyReport(double nowMs) {
        List<DataPlaneReports.Report> all = reports.reports(nowMs);
        assertEquals(1, all.size());
        return all.get(0);
    }

    @Test
    void sinceMsIsTheTimeOfTheFirstHeartbeatWithTheVersion() {
        reports.onHeartbeat(100, member("edge", 1), 0);
        reports.onHeartbeat(400, member("edge", 1), 7);
        reports.onHeartbeat(700, member("edge", 1), 7);
        DataPlaneReports.Report report = onlyReport(800);
        assertEquals(7, report.configurationVersion());
        assertEquals(400, report.sinceMs());
        assertEquals(700, report.lastHeartbeatAtMs());
        assertTrue(report.hasSession());
    }

    @Test
    void aReopenedSessionContinuesTheReport() {
        reports.onHeartbeat(100, member("edge", 1), 7);
        reports.onSessionClosed(member("edge", 1));
        assertFalse(onlyReport(150).hasSession());
        reports.onHeartbeat(900, member("edge", 1), 7);
        assertEquals(100, onlyReport(1_000).sinceMs());
    }

    @Test
    void aNewIncarnationStartsANewReportThatTheEndOfTheOldSessionDoesNotChange() {
        reports.onHeartbeat(100, member("edge", 1), 7);
        reports.onHeartbeat(900, member("edge", 2), 7);
        reports.onSessionClosed(member("edge", 1));
        assertEquals(900, onlyReport(1_000).sinceMs());
        assertTrue(onlyReport(1_000).hasSession());
    }

    @Test
    void theReportOfADataPlaneWithoutASessionIsRemovedAfterADay() {
        reports.onHeartbeat(100, member("edge", 1), 7);
        assertEquals(1, reports.reports(100 + 2 * DAY_MS).size());
        reports.onSessionClosed(member("edge", 1));
        assertEquals(1, reports.reports(100 + DAY_MS).size());
        assertEquals(0, reports.reports(101 + DAY_MS).size());
    }

    @Test
    void theReportWithTheOldestHeartbeatIsEvictedBeyondMaxReports() {
        for (int index = 0; index <= DataPlaneReports.MAX_REPORTS; index++) {
            reports.onHeartbeat(index, member("edge-" + index, 1), 7);
        }
        List<DataPlaneReports.Report> all = reports.reports(DataPlaneReports.MAX_REPORTS);
        assertEquals(DataPlaneReports.MAX_REPORTS, all.size());
        assertTrue(all.stream().noneMatch(report -> report.member().node.equals("edge-0")));
    }
}
