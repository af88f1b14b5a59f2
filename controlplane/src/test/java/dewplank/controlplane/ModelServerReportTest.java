package dewplank.controlplane;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import dewplank.message.Endpoint;
import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** A part of a report is not a report, wherever it ends: a number that is cut would be another number. */
class ModelServerReportTest {
    private static final String REPORT = "{\"stage\":\"decode\",\"busy\":false,\"queued\":0,\"active\":17,"
            + "\"kv_used\":12345,\"kv_capacity\":678901}";

    private static ModelServerReport parse(String body) throws UnreadableResponseException {
        Endpoint server = new Endpoint("i-1", "m", "10.0.0.1:80", "z", 4, false, 0, "decode");
        return ModelServerReport.parse(server, body.getBytes(StandardCharsets.UTF_8), 0);
    }

    private static IntStream lengthsOfParts() {
        return IntStream.range(0, REPORT.length());
    }

    @ParameterizedTest
    @MethodSource("lengthsOfParts")
    void aPartOfAReportIsUnreadable(int length) {
        assertThrows(UnreadableResponseException.class, () -> parse(REPORT.substring(0, length)));
    }

    @Test
    void aWholeReportIsRead() throws UnreadableResponseException {
        assertEquals(17, parse(REPORT + "\n").state().activeRequests());
    }
}
