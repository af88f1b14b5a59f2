package dewplank.settings;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * The settings of a process of the router fleet, read from its settings file and validated.
 *
 * <p>Unknown fields are ignored. If a field is missing, of the wrong type or out of range, an {@link
 * InvalidInputException} reports its full key and the result code. The keys are documented on the operators' deploy
 * page. Times are converted to milliseconds and sizes to bytes.
 *
 * @param nodeName the machine's name
 * @param address the machine's IPv4 address
 * @param zone the machine's zone
 * @param front listen address for clients; null if the process accepts none
 * @param readiness listen address for readiness checks; null if the process accepts no clients
 * @param control listen address for operators; null if the process is not a control plane
 * @param internalPorts the first and the last port available for messages between the fleet's processes
 * @param seeds the initial control addresses
 * @param initialStart whether the fleet starts for the first time, with empty disks
 * @param lossCounted whether the loss of this machine counts, so that its control plane must store state on a disk
 * @param dataDirectory the directory on the machine's disk; null if it has none
 * @param resources resource limits of the process
 * @param bounds limits that the operators set
 * @param platform the platform's server list
 */
public record NodeSettings(
        String nodeName,
        String address,
        String zone,
        InetSocketAddress front,
        InetSocketAddress readiness,
        InetSocketAddress control,
        int[] internalPorts,
        List<InetSocketAddress> seeds,
        boolean initialStart,
        boolean lossCounted,
        Path dataDirectory,
        Resources resources,
        Bounds bounds,
        Platform platform) {
    /** The environment variable that contains the path of the settings file. */
    public static final String VARIABLE = "DEWPLANK_NODE_FILE";

    /** Resource limits of the process. */
    public record Resources(int fileDescriptors, long diskBytes) {}

    /** Limits that the operators set, named after the keys of the settings file. Times are in milliseconds. */
    public record Bounds(
            double drainMs,
            double graceMs,
            double configApplyMs,
            double retryRatio,
            double retryWindowMs,
            double retrySlack,
            double leaseMs,
            double contactMs,
            double ackMs,
            double catchUpMs,
            Revocation revocation,
            Quota quota) {}

    /**
     * How far the requests of a tenant may exceed its rate limit.
     *
     * @param windowMs the window in which requests are counted
     * @param overshoot the allowed excess as a fraction of the limit
     * @param slack the additional allowed excess as a number of requests
     */
    public record Quota(double windowMs, double overshoot, double slack) {}

    /**
     * Limits on the use of revoked access keys.
     *
     * @param failsClosed whether a key is rejected if its validity cannot be confirmed
     * @param rejectWithinMs time after the acknowledgement of its revocation within which a key must be rejected
     */
    public record Revocation(boolean failsClosed, double rejectWithinMs) {}

    /** The platform's server list. */
    public record Platform(InetSocketAddress address, double callsPerSecond, double maxLagMs) {}

    /** The default of {@code catch_up_s}: the shortest time configured in any deployment so far. */
    private static final double DEFAULT_CATCH_UP_S = 4;

    private static final double DEFAULT_QUOTA_WINDOW_S = 5;
    private static final double DEFAULT_LEASE_MS = 3_000;
    private static final double DEFAULT_ACK_MS = 4_000;
    private static final int MAX_PORT = 65_535;
    private static final int MS_PER_S = 1_000;
    private static final int BYTES_PER_MB = 1024 * 1024;
    private static final int DECIMAL_RADIX = 10;
    private static final int IP_OCTETS = 4;
    private static final int MAX_IP_OCTET = 255;

    /** Reads the settings file at the path in {@link #VARIABLE}. */
    public static NodeSettings fromEnvironment(Map<String, String> environment) {
        return read(path(environment));
    }

    /** Returns the path of the settings file. */
    public static Path path(Map<String, String> environment) {
        String path = environment.get(VARIABLE);
        if (path == null || path.isEmpty()) {
            throw InvalidInputException.of(
                    ResultCode.VARIABLE_NOT_SET, VARIABLE + " is not set: it holds the path of the settings file");
        }
        return Path.of(path);
    }

    /** Reads a settings file. */
    public static NodeSettings read(Path path) {
        try {
            return parse(Files.readString(path, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw InvalidInputException.of(
                    ResultCode.FILE_UNREADABLE, "the settings file " + path + " can't be read: " + e);
        }
    }

    /** Parses the text of a settings file. */
    public static NodeSettings parse(String text) {
        try {
            return parseFields(text);
        } catch (InvalidInputException e) {
            throw e.withNumber(ResultCode.NOT_JSON);
        }
    }

    private static NodeSettings parseFields(String text) {
        Fields fields = new Fields(Json.object(text), "");
        Fields listen = fields.requireObject("listen_addresses");
        Fields limits = fields.requireObject("limits");
        return new NodeSettings(
                fields.text("node_name"),
                ip(fields),
                fields.text("zone"),
                address(listen, "front"),
                address(listen, "readiness"),
                address(listen, "control"),
                ports(fields),
                seeds(fields),
                fields.flag("initial_start"),
                fields.flag("loss_counted", false),
                directory(fields),
                new Resources((int) limits.atLeast("max_file_descriptors", 1), (long)
                        (limits.atLeast("disk_mb", 0, 0) * BYTES_PER_MB)),
                bounds(fields.requireObject("bounds")),
                platform(fields.requireObject("platform_api")));
    }

    /** Checks that the keys required by a data plane are present. */
    public NodeSettings requireDataPlaneKeys() {
        require(front, "listen_addresses.front", "clients connect there");
        require(readiness, "listen_addresses.readiness", "the platform asks there whether clients may come");
        return this;
    }

    /**
     * Checks that the keys required by a control plane are present. A control plane without a disk, which is allowed if
     * the machine's loss does not count, is a relay.
     */
    public NodeSettings requireControlPlaneKeys() {
        require(control, "listen_addresses.control", "operators call there");
        if (lossCounted) {
            require(dataDirectory, "data_directory", "the loss of this machine counts, so it keeps state on a disk");
        }
        return this;
    }

    private static void require(Object value, String key, String why) {
        if (value == null) {
            throw InvalidInputException.of(ResultCode.KEY_MISSING, key + " is missing: " + why);
        }
    }

    /** Parses the address without a library: other processes connect to it as written, and no name may be resolved. */
    private static String ip(Fields fields) {
        String text = fields.text("ip_address");
        int octets = 1;
        int value = -1; // of the current octet; -1 before its first digit
        boolean isValid = true;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '.') {
                isValid &= value >= 0;
                octets++;
                value = -1;
            } else {
                isValid &= c >= '0' && c <= '9';
                value = Math.max(0, value) * DECIMAL_RADIX + c - '0';
                isValid &= value <= MAX_IP_OCTET;
            }
        }
        if (!isValid || value < 0 || octets != IP_OCTETS) {
            throw fields.outOfRange("ip_address", "an IPv4 address, such as 10.0.0.4");
        }
        return text;
    }

    private static InetSocketAddress address(Fields fields, String key) {
        return fields.text(key, "").isEmpty() ? null : Addresses.parse(fields, key);
    }

    private static int[] ports(Fields fields) {
        Fields range = fields.elements("internal_port_range");
        long first = range.integer("internal_port_range[0]");
        long last = range.integer("internal_port_range[1]");
        if (first < 1 || last > MAX_PORT || last <= first) {
            throw fields.outOfRange("internal_port_range", "two ports, the second one higher");
        }
        return new int[] {(int) first, (int) last};
    }

    private static List<InetSocketAddress> seeds(Fields fields) {
        Fields elements = fields.elements("seed_nodes");
        List<InetSocketAddress> seeds = new ArrayList<>();
        for (String key : elements.keys()) {
            seeds.add(Addresses.parse(elements, key));
        }
        return seeds;
    }

    private static Path directory(Fields fields) {
        String text = fields.text("data_directory", "");
        try {
            return text.isEmpty() ? null : Path.of(text);
        } catch (IllegalArgumentException e) {
            throw fields.outOfRange("data_directory", "a folder's path");
        }
    }

    private static Bounds bounds(Fields fields) {
        return new Bounds(
                fields.positive("drain_ms"),
                fields.positive("grace_s") * MS_PER_S,
                fields.positive("config_apply_ms"),
                fields.atLeast("retry_budget_ratio", 0),
                fields.positive("budget_window_s") * MS_PER_S,
                fields.atLeast("retry_budget_slack", 0),
                fields.atLeast("lease_ms", 0, DEFAULT_LEASE_MS),
                fields.positive("contact_ms"),
                fields.atLeast("ack_ms", 0, DEFAULT_ACK_MS),
                fields.atLeast("catch_up_s", 0, DEFAULT_CATCH_UP_S) * MS_PER_S,
                revocation(fields),
                quota(fields));
    }

    private static Quota quota(Fields fields) {
        return new Quota(
                fields.atLeast("quota_window_s", 0, DEFAULT_QUOTA_WINDOW_S) * MS_PER_S,
                fields.atLeast("quota_overshoot", 0, 0),
                fields.atLeast("quota_slack", 0, 0));
    }

    private static Revocation revocation(Fields fields) {
        boolean failsClosed = fields.flag("revocation_closed", false);
        return new Revocation(failsClosed, failsClosed ? fields.positive("revoke_ms") : 0);
    }

    private static Platform platform(Fields fields) {
        return new Platform(
                Addresses.parse(fields, "address"), fields.positive("rate_per_s"), fields.atLeast("max_lag_ms", 0, 0));
    }
}
