package dewplank.sidecar.config;

import dewplank.balancer.Settings;
import dewplank.settings.Addresses;
import dewplank.settings.Fields;
import dewplank.settings.InvalidInputException;
import dewplank.settings.Json;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * A sidecar's configuration, validated and with defaults applied.
 *
 * @param name the sidecar's name in the log
 * @param listen the address to which clients connect
 * @param discovery the address of discovery
 * @param seed the seed of the balancer's random number generator
 * @param maxSockets the maximum number of file descriptors that the sidecar may use
 * @param initialCatalog the last known list of discovery, in discovery's JSON format
 * @param settings the balancer's settings
 * @param peers the addresses of the peers, or null if the settings allow no peer summaries
 */
public record SidecarConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int maxSockets,
        Fields initialCatalog,
        Settings settings,
        PeerAddresses peers) {
    private static final int DEFAULT_MAX_SOCKETS = 1_024;
    private static final int MIN_MAX_SOCKETS = 256;
    /** Reserved for the JVM's own descriptors, the listener and the watch on discovery. */
    private static final int RESERVED_SOCKETS = 40;

    /** Returns the limit on client connections: half of the descriptors. The rest is for connections to servers. */
    public int maxClientConnections() {
        return maxSockets / 2;
    }

    /** Returns the limit on connections to servers, idle and busy ones together. */
    public int maxServerConnections() {
        return maxSockets - maxClientConnections() - RESERVED_SOCKETS;
    }

    /**
     * Reads the file named by the environment variable {@code GW_CONFIG}. The variables {@code GW_NAME},
     * {@code GW_LISTEN} and {@code GW_DISCOVERY} override its values.
     *
     * @throws InvalidInputException if the file cannot be read, or if a key is missing or invalid; the message names
     *     the key
     */
    public static SidecarConfig fromEnvironment(Map<String, String> environment) {
        return read(environment, Map.of("GW_NAME", "name", "GW_LISTEN", "listen", "GW_DISCOVERY", "discovery"));
    }

    /**
     * Reads the file again while the sidecar runs. The environment still has its values from the start, so
     * {@code discovery} is taken from the file, which may be newer. The name and the listening address cannot change
     * while the sidecar runs.
     */
    public static SidecarConfig readForReload(Map<String, String> environment) {
        return read(environment, Map.of("GW_NAME", "name", "GW_LISTEN", "listen"));
    }

    /** Returns the packaged configuration for the {@code rehearse} command at build time; it uses any free port. */
    public static SidecarConfig forWarmUp() {
        try (InputStream in = SidecarConfig.class.getResourceAsStream("/rehearsal.json")) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            SidecarConfig config = of(new Fields(Json.object(text), "rehearsal key "));
            return new SidecarConfig(
                    config.name,
                    new InetSocketAddress(config.listen.getAddress(), 0), // any free port
                    config.discovery,
                    config.seed,
                    config.maxSockets,
                    config.initialCatalog,
                    config.settings,
                    null);
        } catch (IOException e) {
            throw new InvalidInputException("rehearsal.json: " + e.getMessage());
        }
    }

    /** Returns the path of the file named by {@code GW_CONFIG}. The file need not exist. */
    public static Path file(Map<String, String> environment) {
        String file = environment.get("GW_CONFIG");
        if (file == null || file.isEmpty()) {
            throw new InvalidInputException("environment variable GW_CONFIG is missing");
        }
        try {
            return Path.of(file);
        } catch (InvalidPathException e) {
            throw new InvalidInputException("GW_CONFIG: cannot read " + file + ": " + e.getMessage());
        }
    }

    private static SidecarConfig read(Map<String, String> environment, Map<String, String> overrides) {
        Path file = file(environment);
        Map<String, Object> object;
        try {
            object = new LinkedHashMap<>(Json.object(Files.readString(file)));
        } catch (NoSuchFileException e) {
            throw new InvalidInputException("GW_CONFIG: file not found: " + file);
        } catch (IOException e) {
            throw new InvalidInputException("GW_CONFIG: cannot read " + file + ": " + e.getMessage());
        } catch (InvalidInputException e) {
            throw new InvalidInputException("GW_CONFIG: " + file + ": " + e.getMessage());
        }
        overrides.forEach((variable, key) -> {
            String value = environment.get(variable);
            if (value != null && !value.isEmpty()) {
                object.put(key, value);
            }
        });
        return of(new Fields(object, "configuration key "));
    }

    static SidecarConfig of(Fields fields) {
        int maxSockets = (int) fields.optionalObject("limits").number("sockets", DEFAULT_MAX_SOCKETS);
        if (maxSockets < MIN_MAX_SOCKETS) {
            throw fields.optionalObject("limits").wrongType("sockets", "at least " + MIN_MAX_SOCKETS);
        }
        String name = fields.text("name");
        InetSocketAddress listen = Addresses.parse(fields, "listen");
        InetSocketAddress discovery = Addresses.parse(fields, "discovery");
        long seed = seed(fields);
        Fields initialCatalog = fields.requireObject("known");
        Settings settings = BalancerSettingsReader.read(fields.requireObject("settings"));
        return new SidecarConfig(
                name,
                listen,
                discovery,
                seed,
                maxSockets,
                initialCatalog,
                settings,
                settings.limits().exchangesPeerSummaries() ? PeerAddresses.of(fields) : null);
    }

    private static long seed(Fields fields) {
        try {
            return Long.parseUnsignedLong(fields.text("seed"), 16);
        } catch (NumberFormatException e) {
            throw fields.wrongType("seed", "a hexadecimal number of at most 64 bits");
        }
    }
}
