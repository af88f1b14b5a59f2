package dewplank.client;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

class OperatorApiAddressesTest {
    @Test
    void parsesAddresses() {
        assertEquals(
                List.of("10.0.0.4:8146", "core-2.example:1", "[::1]:65535"),
                OperatorApiAddresses.parse("10.0.0.4:8146, core-2.example:1,[::1]:65535,10.0.0.4:8146")
                        .all());
        assertEquals(
                List.of("10.0.0.4:8146"),
                OperatorApiAddresses.ofSeeds(List.of(InetSocketAddress.createUnresolved("10.0.0.4", 8146)))
                        .all());
    }

    @Test
    void rejectsMalformedAddresses() {
        for (String text : List.of(
                "",
                "10.0.0.4",
                "10.0.0.4:",
                "10.0.0.4:0",
                "10.0.0.4:65536",
                ":80",
                "a:80,",
                "a b:80",
                "u@a:80",
                "a:80/path",
                "http://a:80")) {
            assertThrows(IllegalArgumentException.class, () -> OperatorApiAddresses.parse(text), text);
        }
        assertThrows(IllegalArgumentException.class, () -> OperatorApiAddresses.ofSeeds(List.of()));
    }
}
