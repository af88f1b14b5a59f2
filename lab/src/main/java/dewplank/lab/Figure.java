package dewplank.lab;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

/** A figure of a run, in the order of the columns of {@code runs.csv}. Ratios are from 0 to 1. */
public enum Figure {
    /** Value served within the latency target over the value requested. */
    SERVICE("service"),
    /** The same of the class served worst, by count. */
    WORST_CLASS("worst_class"),
    /** The service of the worst ten seconds. */
    WORST_WINDOW("worst_spell"),
    /** The part of the requests whose last attempt was refused. */
    REFUSED("refused"),
    /** The part of the requests whose last attempt failed. */
    FAILED("failed"),
    /** Clients' attempts for a request. */
    ATTEMPTS_PER_REQUEST("tries_each"),
    /** Attempts at servers for an attempt of a client. */
    SENDS_PER_ATTEMPT("sends_each"),
    /** Median latency of requests served, milliseconds. */
    P50_MS("p50_ms"),
    P90_MS("p90_ms"),
    P99_MS("p99_ms"),
    REQUESTS("requests"),
    /** The auditor's findings. */
    VIOLATIONS("violations"),
    HEALTH_CHECKS("probes"),
    HANDSHAKES("handshakes"),
    DIRECTORY_CALLS("directory_calls"),
    DIRECTORY_LINES("directory_lines"),
    /** Tasks of virtual time. */
    EVENTS("events"),
    /** 1 if the emulator itself ran late, on sockets; else 0. */
    UNSOUND("unsound"),
    /** The service of the tenant served worst, within its quota share; 1 without tenants. */
    WORST_TENANT("worst_tenant");

    private final String column;

    Figure(String column) {
        this.column = column;
    }

    /** The name in tables, files and commands, which scripts read: it stays when the constant is renamed. */
    public String column() {
        return column;
    }

    /** The figure of that column; empty if there is none. */
    public static Optional<Figure> ofColumn(String column) {
        return Arrays.stream(values())
                .filter(figure -> figure.column.equals(column))
                .findFirst();
    }

    /** All columns, in order. */
    public static List<String> columns() {
        return Arrays.stream(values()).map(Figure::column).toList();
    }

    /** All columns, in order, with commas between. */
    public static String columnList() {
        return Arrays.stream(values()).map(Figure::column).collect(Collectors.joining(", "));
    }
}
