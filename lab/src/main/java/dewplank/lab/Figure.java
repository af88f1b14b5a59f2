package dewplank.lab;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** The figures of a simulation run, in the order of the columns of {@code runs.csv}. Ratios are from 0 to 1. */
public enum Figure {
    /** Value served within the latency target over the value requested. */
    SERVICE("service"),
    /** The fraction of requests served within the target, by count, of the class where it is lowest. */
    WORST_CLASS("worst_class"),
    /** The lowest service over any ten seconds. */
    WORST_WINDOW("worst_spell"),
    /** The fraction of the requests whose last attempt was rejected. */
    REFUSED("refused"),
    /** The fraction of the requests whose last attempt failed. */
    FAILED("failed"),
    /** Mean number of client attempts per request. */
    ATTEMPTS_PER_REQUEST("tries_each"),
    /** Mean number of attempts at servers per client attempt. */
    SENDS_PER_ATTEMPT("sends_each"),
    /** Median latency of the served requests in milliseconds. */
    P50_MS("p50_ms"),
    P90_MS("p90_ms"),
    P99_MS("p99_ms"),
    REQUESTS("requests"),
    /** The number of violations that the auditor found. */
    VIOLATIONS("violations"),
    HEALTH_CHECKS("probes"),
    HANDSHAKES("handshakes"),
    DIRECTORY_CALLS("directory_calls"),
    DIRECTORY_LINES("directory_lines"),
    /** The number of tasks run in virtual time. */
    EVENTS("events"),
    /** 1 if the run is invalid because the emulator itself ran late, which can happen only on sockets; otherwise 0. */
    UNSOUND("unsound"),
    /** The lowest service of any tenant within its quota share; 1 if there are no tenants. */
    WORST_TENANT("worst_tenant");

    private final String column;

    Figure(String column) {
        this.column = column;
    }

    /** The name in tables, files and commands. Scripts parse it, so it must not change with the constant's name. */
    public String column() {
        return column;
    }

    /** The figure with this column name; empty if there is none. */
    public static Optional<Figure> ofColumn(String column) {
        return Arrays.stream(values())
                .filter(figure -> figure.column.equals(column))
                .findFirst();
    }

    /** All column names, in order. */
    public static List<String> columns() {
        return Arrays.stream(values()).map(Figure::column).toList();
    }

    /** All column names, in order, separated by commas. */
    public static String columnList() {
        return Arrays.stream(values()).map(Figure::column).collect(Collectors.joining(", "));
    }
}
