package dewplank.emulator.loopback;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import dewplank.emulator.ClientAttempt;
import dewplank.emulator.scenario.Scenario;
import dewplank.emulator.scenario.ScenarioFile;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Tests that clients' attempts have the header fields that a sidecar reads. */
class SidecarClientsTest {
    private final Scenario scenario = ScenarioFile.named("try");

    SidecarClientsTest() throws Exception {}

    @Test
    void aRetryIsMarkedWhereClientsMarkRetries() {
        assertTrue(scenario.clients().marksRetries());
        assertTrue(head(true).contains("\r\nX-Second-Try: 1\r\n"), head(true));
        assertFalse(head(false).contains("X-Second"), head(false));
    }

    @Test
    void anAttemptNamesItsIdClassAndRemainingTime() {
        String head = head(false);
        assertTrue(head.contains("\r\nX-Trace-Id: 2a\r\n"), head);
        assertTrue(head.contains("\r\nX-Qos: " + scenario.classes().get(0).name() + "\r\n"), head);
        assertTrue(head.contains("\r\nX-Expires-In-Ms: 900\r\n"), head);
        assertEquals(-1, head.indexOf("X-Customer"), head);
    }

    private String head(boolean isRetry) {
        ClientAttempt attempt = new ClientAttempt(42, 0, 7, 1, 0, isRetry, 100, 1_000, null);
        return StandardCharsets.US_ASCII
                .decode(SidecarClients.message(scenario, attempt))
                .toString();
    }
}
