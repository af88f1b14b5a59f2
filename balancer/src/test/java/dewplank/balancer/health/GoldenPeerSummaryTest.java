package dewplank.balancer.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** The wire format of {@link PeerSummary}, compared byte for byte with that of an earlier release. */
class GoldenPeerSummaryTest {
    private static final String TWO_SERVERS = "01" // version
            + "4278bcfe5687b800" // milliseconds, a double
            + "00018fcd" // hashes of servers
            + "fffffffe";
    private static final String NO_SERVERS = "01" + "0000000000000000";

    private static String encodeToHex(PeerSummary summary) {
        return HexFormat.of().formatHex(summary.encode());
    }

    private static PeerSummary decodeFromHex(String hex) {
        return PeerSummary.decode(HexFormat.of().parseHex(hex));
    }

    @Test
    void writesAndReadsUnhealthyServers() {
        PeerSummary summary = new PeerSummary(1_700_000_000_123.5, List.of("i-1".hashCode(), -2));
        assertEquals(TWO_SERVERS, encodeToHex(summary));
        assertEquals(summary, decodeFromHex(TWO_SERVERS));
    }

    @Test
    void writesAndReadsAnEmptySummary() {
        PeerSummary summary = new PeerSummary(0, List.of());
        assertEquals(NO_SERVERS, encodeToHex(summary));
        assertEquals(summary, decodeFromHex(NO_SERVERS));
    }

    @ParameterizedTest
    @ValueSource(strings = {"02", "00"})
    void rejectsAnotherVersion(String version) {
        assertNotNull(decodeFromHex(TWO_SERVERS), "version 1 is accepted");
        assertNull(decodeFromHex(version + TWO_SERVERS.substring(2)));
    }

    /** 61 of the 70 servers fit into 256 bytes. */
    @Test
    void writesNoMoreServersThanFitInto256Bytes() {
        List<Integer> servers = new ArrayList<>();
        StringBuilder expected = new StringBuilder("01" + "4014000000000000");
        for (int index = 0; index < 70; index++) {
            servers.add(index);
            expected.append(index < 61 ? "000000" + HexFormat.of().toHexDigits((byte) index) : "");
        }
        assertEquals(expected.toString(), encodeToHex(new PeerSummary(5, servers)));
    }
}
