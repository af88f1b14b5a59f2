package dewplank.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that datagrams between data planes have the same bytes as in an earlier release. */
class GoldenHealthSummaryTest {
    private static final String FULL = "02" // version
            + "0000018bcfe5687b" // incarnation
            + "0000004d" // sequence
            + "02" // suspected servers: hash, failures, age in tenths of a second
            + "00018fcd" + "03" + "0c"
            + "fffffffe" + "ff" + "ff"
            + "00018fce" + "00" // healthy servers: hash, age
            + "00000007" + "31";
    private static final String EMPTY = "02" + "ffffffffffffffff" + "00000001" + "00";

    private static String encoded(HealthSummary summary) {
        return HexFormat.of().formatHex(summary.encode());
    }

    private static HealthSummary decoded(String hex) {
        return HealthSummary.decode(HexFormat.of().parseHex(hex)).orElse(null);
    }

    @Test
    void aSummaryWithSuspectedAndHealthyServersHasTheGoldenBytes() {
        HealthSummary sent = new HealthSummary(
                1_700_000_000_123L,
                77,
                List.of(
                        new HealthSummary.Suspected("i-1".hashCode(), 3, 1_200),
                        new HealthSummary.Suspected(-2, 300, 40_000)),
                List.of(new HealthSummary.Healthy("i-2".hashCode(), 0), new HealthSummary.Healthy(7, 4_949)));
        assertEquals(FULL, encoded(sent));
        HealthSummary received = new HealthSummary(
                1_700_000_000_123L,
                77,
                List.of(
                        new HealthSummary.Suspected("i-1".hashCode(), 3, 1_200),
                        new HealthSummary.Suspected(-2, 255, 25_500)),
                List.of(new HealthSummary.Healthy("i-2".hashCode(), 0), new HealthSummary.Healthy(7, 4_900)));
        assertEquals(received, decoded(FULL));
    }

    @Test
    void aSummaryWithoutServersHasTheGoldenBytes() {
        HealthSummary summary = new HealthSummary(-1, 1, List.of(), List.of());
        assertEquals(EMPTY, encoded(summary));
        assertEquals(summary, decoded(EMPTY));
    }

    @Test
    void aSummaryOfAnotherFormatVersionIsNotDecoded() {
        assertNull(decoded("01" + FULL.substring(2)));
        assertNull(decoded("03" + FULL.substring(2)));
    }

    /** 256 bytes contain 40 of the 50 suspected servers, and no healthy server. */
    @Test
    void serversThatDoNotFitAreLeftOut() {
        List<HealthSummary.Suspected> suspected = new ArrayList<>();
        StringBuilder expected = new StringBuilder("02" + "0000000000000005" + "00000006" + "28");
        for (int index = 0; index < 50; index++) {
            suspected.add(new HealthSummary.Suspected(index, 1, 100));
            expected.append(index < 40 ? "000000" + HexFormat.of().toHexDigits((byte) index) + "0101" : "");
        }
        List<HealthSummary.Healthy> healthy = List.of(new HealthSummary.Healthy(99, 0));
        assertEquals(expected.toString(), encoded(new HealthSummary(5, 6, suspected, healthy)));
    }
}
