package dewplank.balancer.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Datagrams between sidecars, byte for byte as an earlier release sent them. */
class GoldenPeerSummaryTest {
    private static final String TWO_SERVERS = "01" // version
            + "4278bcfe5687b800" // milliseconds, a double
            + "00018fcd" // hashes of servers
            + "fffffffe";
    private static final String NO_SERVERS = "01" + "0000000000000000";

    private static String encoded(PeerSummary summary) {
        return HexFormat.of().formatHex(summary.encode());
    }

    private static PeerSummary decoded(String hex) {
        return PeerSummary.decode(HexFormat.of().parseHex(hex));
    }

    @Test
    void unhealthyServers() {
        PeerSummary summary = new PeerSummary(1_700_000_000_123.5, List.of("i-1".hashCode(), -2));
        assertEquals(TWO_SERVERS, encoded(summary));
        assertEquals(summary, decoded(TWO_SERVERS));
    }

    @Test
    void noServers() {
        PeerSummary summary = new PeerSummary(0, List.of());
        assertEquals(NO_SERVERS, encoded(summary));
        assertEquals(summary, decoded(NO_SERVERS));
    }

    @Test
    void anotherVersionIsNotRead() {
        assertNull(decoded("02" + TWO_SERVERS.substring(2)));
        assertNull(decoded("00" + TWO_SERVERS.substring(2)));
    }

    /** Of 70 servers 61 find room in 256 bytes. */
    @Test
    void noMoreServersThanFitInto256Bytes() {
        List<Integer> servers = new ArrayList<>();
        StringBuilder expected = new StringBuilder("01" + "4014000000000000");
        for (int index = 0; index < 70; index++) {
            servers.add(index);
            expected.append(index < 61 ? "000000" + HexFormat.of().toHexDigits((byte) index) : "");
        }
        assertEquals(expected.toString(), encoded(new PeerSummary(5, servers)));
    }
}
