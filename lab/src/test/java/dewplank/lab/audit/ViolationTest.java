package dewplank.lab.audit;

import static org.junit.jupiter.api.Assertions.assertEquals;

import dewplank.emulator.RecordedEvent;
import dewplank.emulator.RecordedEvent.Type;
import java.util.List;
import org.junit.jupiter.api.Test;

/** The text of violations in a terminal and in failed tests. */
class ViolationTest {
    private static final int NONE = RecordedEvent.NONE;

    private final RecordedEvent sent = new RecordedEvent(12.5, Type.SENT, 7, 0, 1, NONE, 900);
    private final RecordedEvent received = new RecordedEvent(20.25, Type.RECEIVED, 7, 0, 1, 3, 0);

    @Test
    void aViolationOfARequestIsDescribedWithItsTimeline() {
        Violation violation = new Violation(Rule.SENT_TWICE, received, "it may have run", List.of(sent, received));
        assertEquals(
                """
                SENT_TWICE at 20.250 ms, request 7 sidecar 1 server 3: it may have run
                          12.500  sent          request 7 sidecar 1 (900.000)
                          20.250  received      request 7 sidecar 1 server 3""",
                violation.describe());
        assertEquals(violation.describe(), violation.toString());
    }

    @Test
    void aViolationWithoutARequestIsDescribedWithItsServer() {
        RecordedEvent collapsed = new RecordedEvent(5, Type.SERVER_COLLAPSED, NONE, NONE, NONE, 4, 0);
        Violation violation =
                new Violation(Rule.COLD_SERVER_OVERLOADED, collapsed, "too much work", List.of(collapsed));
        assertEquals(
                """
                COLD_SERVER_OVERLOADED at 5.000 ms, server 4: too much work
                           5.000  server collapsed server 4""",
                violation.describe());
    }

    @Test
    void theTimelineTextHasOneLinePerEvent() {
        Violation violation = new Violation(Rule.SENT_TWICE, received, "it may have run", List.of(sent, received));
        assertEquals(
                "      12.500  sent          request 7 sidecar 1 (900.000)\n"
                        + "      20.250  received      request 7 sidecar 1 server 3",
                violation.timelineText());
    }
}
