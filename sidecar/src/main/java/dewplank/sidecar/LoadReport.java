package dewplank.sidecar;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Parses a server's load report, for example {@code TEXT inflight=7, queue=2}. */
final class LoadReport {
    private LoadReport() {}

    /**
     * Parses the load report of a response.
     *
     * @param header the report, or null
     * @param fields the names of the values in the settings
     * @return the values in the order of {@code fields}, NaN for a missing one; null if there is no report, as
     *     {@code AttemptEnded} and {@code HealthChecked} expect
     */
    static double[] parse(String header, List<String> fields) {
        if (header == null || !header.startsWith("TEXT ")) {
            return null;
        }
        Map<String, Double> values = new HashMap<>();
        for (String part : header.substring("TEXT ".length()).split(",")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                try {
                    double value = Double.parseDouble(part.substring(equals + 1).strip());
                    if (value >= 0 && value < Double.POSITIVE_INFINITY) { // an impossible value counts as missing
                        values.put(part.substring(0, equals).strip(), value);
                    }
                } catch (NumberFormatException e) {
                    // a value that is not a number counts as missing
                }
            }
        }
        return fields.stream()
                .mapToDouble(f -> values.getOrDefault(f, Double.NaN))
                .toArray();
    }
}
