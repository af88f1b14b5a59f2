package dewplank.sidecar;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertNull;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Parsing of the load report in a server's response. */
class LoadReportTest {
    private static final List<String> FIELDS = List.of("rif", "q");

    @Test
    void valuesAreReadInTheOrderOfTheFields() {
        assertArrayEquals(new double[] {7, 2}, LoadReport.parse("TEXT rif=7, q=2", FIELDS));
    }

    /** An impossible value must not be passed to the balancer. */
    @ParameterizedTest
    @ValueSource(strings = {"NaN", "Infinity", "-Infinity", "-1", "1e999", "seven", ""})
    void anInvalidValueCountsAsMissing(String value) {
        assertArrayEquals(new double[] {Double.NaN, 2}, LoadReport.parse("TEXT rif=" + value + ", q=2", FIELDS));
    }

    @Test
    void aReportInAnotherFormatIsIgnored() {
        assertNull(LoadReport.parse("what?", FIELDS));
    }
}
