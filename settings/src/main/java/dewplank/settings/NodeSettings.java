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
 * The settings file of a process of the router fleet, read and checked in this one place. Unknown fields are passed
 * over; a field that is missing, of the wrong type or out of range is named in full, with the fault's number.
 *
 * @param address       the machine's IP address
 * @param front         where clients connect; null where the role serves none
 * @param readiness     where readiness is asked for; null where the role serves no clients
 * @param control       where operators call; null where the role serves no control
 * @param internalPorts the first and the last port that is free for the system's own messages
 * @param seeds         control addresses to begin with
 * @param dataDirectory null where the machine has no disk
 * @param counted       whether the machine's loss is counted
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
    /** The variable that holds the file's path. */
    public static final String VARIABLE = "DEWPLANK_NODE_FILE";

    /** What the process may use. */
    public record Resources(int fileDescriptors, long diskBytes) {}

    /** Bounds of the operators' rules. Times in milliseconds. */
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
            double catchUpMs) {}

    /** The platform's list of servers. */
    public record Platform(InetSocketAddress address, double callsPerSecond, double lagMs) {}

    /** Where the file gives no {@code catch_up_s}: the shortest time that any deployment has given so far. */
    private static final double DEFAULT_CATCH_UP_S = 4;

    private static final int MAX_PORT = 65_535;
    private static final int BYTES_PER_MB = 1024 * 1024;
    private static final int DECIMAL_RADIX = 10;
    private static final int IP_OCTETS = 4;
    private static final int MAX_IP_OCTET = 255;

    /** Reads the file that the environment names. */
    public static NodeSettings fromEnvironment(Map<String, String> environment) {
        return read(path(environment));
    }

    public static Path path(Map<String, String> environment) {
        String path = environment.get(VARIABLE);
        if (path == null || path.isEmpty()) {
            throw InvalidInputException.of(
                    ResultCode.VARIABLE_NOT_SET, VARIABLE + " is not set: it holds the path of the settings file");
        }
        return Path.of(path);
    }

    public static NodeSettings read(Path path) {
        try {
            return parse(Files.readString(path, StandardCharsets.UTF_8));
        } catch (IOException e) {
            throw InvalidInputException.of(
                    ResultCode.FILE_UNREADABLE, "the settings file " + path + " can't be read: " + e);
        }
    }

    public static NodeSettings parse(String text) {
        try {
            return parsed(text);
        } catch (InvalidInputException e) {
            throw e.numbered(ResultCode.NOT_JSON);
        }
    }

    private static NodeSettings parsed(String text) {
        Fields f = new Fields(Json.object(text), "");
        Fields listen = f.requireObject("listen_addresses");
        Fields limits = f.requireObject("limits");
        return new NodeSettings(
                f.text("node_name"),
                ip(f),
                f.text("zone"),
                address(listen, "front"),
                address(listen, "readiness"),
                address(listen, "control"),
                ports(f),
                seeds(f),
                f.flag("initial_start"),
                f.flag("loss_counted", false),
                directory(f),
                new Resources((int) limits.atLeast("max_file_descriptors", 1), (long)
                        (limits.atLeast("disk_mb", 0, 0) * BYTES_PER_MB)),
                bounds(f.requireObject("bounds")),
                platform(f.requireObject("platform_api")));
    }

    /** These settings, which have all that a data plane needs. */
    public NodeSettings requireDataPlaneKeys() {
        require(front, "listen_addresses.front", "clients connect there");
        require(readiness, "listen_addresses.readiness", "the platform asks there whether clients may come");
        return this;
    }

    /** These settings, which have all that a control plane needs; without a disk, where none need be, it is a relay. */
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

    /** Other processes dial the address as it stands here: they look no name up. */
    private static String ip(Fields f) {
        String text = f.text("ip_address");
        int parts = 1;
        int value = -1; // of the part so far; below 0 where it has no digit yet
        boolean right = true;
        for (int i = 0; i < text.length(); i++) {
            char c = text.charAt(i);
            if (c == '.') {
                right &= value >= 0;
                parts++;
                value = -1;
            } else {
                right &= c >= '0' && c <= '9';
                value = Math.max(0, value) * DECIMAL_RADIX + c - '0';
                right &= value <= MAX_IP_OCTET;
            }
        }
        if (!right || value < 0 || parts != IP_OCTETS) {
            throw f.outOfRange("ip_address", "an IPv4 address, such as 10.0.0.4");
        }
        return text;
    }

    private static InetSocketAddress address(Fields fields, String key) {
        return fields.text(key, "").isEmpty() ? null : Addresses.parse(fields, key);
    }

    private static int[] ports(Fields f) {
        Fields range = f.elements("internal_port_range");
        long first = range.integer("internal_port_range[0]");
        long last = range.integer("internal_port_range[1]");
        if (first < 1 || last > MAX_PORT || last <= first) {
            throw f.outOfRange("internal_port_range", "two ports, the second one higher");
        }
        return new int[] {(int) first, (int) last};
    }

    private static List<InetSocketAddress> seeds(Fields f) {
        Fields elements = f.elements("seed_nodes");
        List<InetSocketAddress> seeds = new ArrayList<>();
        for (String key : elements.keys()) {
            seeds.add(Addresses.parse(elements, key));
        }
        return seeds;
    }

    private static Path directory(Fields f) {
        String text = f.text("data_directory", "");
        try {
            return text.isEmpty() ? null : Path.of(text);
        } catch (IllegalArgumentException e) {
            throw f.outOfRange("data_directory", "a folder's path");
        }
    }

    private static Bounds bounds(Fields f) {
        return new Bounds(
                f.positive("drain_ms"),
                f.positive("grace_s") * 1000,
                f.positive("config_apply_ms"),
                f.atLeast("retry_budget_ratio", 0),
                f.positive("budget_window_s") * 1000,
                f.atLeast("retry_budget_slack", 0),
                f.atLeast("lease_ms", 0, 3_000),
                f.positive("contact_ms"),
                f.atLeast("ack_ms", 0, 4_000),
                f.atLeast("catch_up_s", 0, DEFAULT_CATCH_UP_S) * 1000);
    }

    private static Platform platform(Fields f) {
        return new Platform(Addresses.parse(f, "address"), f.positive("rate_per_s"), f.atLeast("max_lag_ms", 0, 0));
    }
}
