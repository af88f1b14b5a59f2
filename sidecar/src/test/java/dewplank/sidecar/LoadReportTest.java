package dewplank.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;

class LoadReportTest {

    /** An impossible value must not reach the balancer as a figure. */
    @Test
    void valuesThatAreNoLoadCountAsMissing() {
        List<String> fields = List.of("rif", "q");
        assertArrayEquals(new double[] {7, 2}, LoadReport.parse("TEXT rif=7, q=2", fields));
        for (String bad : List.of("NaN", "Infinity", "-Infinity", "-1", "1e999", "seven", "")) {
            assertArrayEquals(new double[] {Double.NaN, 2}, LoadReport.parse("TEXT rif=" + bad + ", q=2", fields));
        }
        assertNull(LoadReport.parse("what?", fields));
    }
}
