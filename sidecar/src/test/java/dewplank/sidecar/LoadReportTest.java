package dewplank.sidecar;

import static org.junit.Assert.assertArrayEquals;
import static org.junit.Assert.assertNull;

import java.util.List;
import org.junit.Test;

public class LoadReportTest {

    /** An impossible value must not reach the balancer as a figure. */
    @Test
    public void valuesThatAreNoLoadCountAsMissing() {
        List<String> fields = List.of("rif", "q");
        assertArrayEquals(new double[] {7, 2}, LoadReport.parse("TEXT rif=7, q=2", fields), 0);
        for (String bad : List.of("NaN", "Infinity", "-Infinity", "-1", "1e999", "seven", "")) {
            assertArrayEquals(new double[] {Double.NaN, 2}, LoadReport.parse("TEXT rif=" + bad + ", q=2", fields), 0);
        }
        assertNull(LoadReport.parse("what?", fields));
    }
}
