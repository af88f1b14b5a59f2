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
 * One sidecar's configuration, checked and with its defaults.
 *
 * @param name for the log
 * @param listen where clients connect
 * @param discovery where discovery listens
 * @param seed of the balancer's random draws
 * @param maxSockets how many descriptors the sidecar may use
 * @param initialCatalog discovery's list as last received, still in discovery's form
 * @param settings the balancer's
 * @param peers null where the settings allow no peer summaries
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
    /** For the JVM's own descriptors, the listener and the watch on discovery. */
    private static final int RESERVED_SOCKETS = 40;

    /** Clients may have half of the descriptors; the rest is for servers. */
    public int maxClientConnections() {
        return maxSockets / 2;
    }

    /** Idle and busy together. */
    public int maxServerConnections() {
        return maxSockets - maxClientConnections() - RESERVED_SOCKETS;
    }

    /**
     * Reads the file that {@code GW_CONFIG} names; {@code GW_NAME} and the addresses of the environment override it.
     *
     * @throws InvalidInputException if the file cannot be read or a key is missing or invalid; it names the key
     */
    public static SidecarConfig fromEnvironment(Map<String, String> environment) {
        return read(environment, Map.of("GW_NAME", "name", "GW_LISTEN", "listen", "GW_DISCOVERY", "discovery"));
    }

    /**
     * Reads it again for a program that runs: the environment is that of the start, so the file's newer
     * {@code discovery} counts. Name and listening address can't change while it runs.
     */
    public static SidecarConfig reread(Map<String, String> environment) {
        return read(environment, Map.of("GW_NAME", "name", "GW_LISTEN", "listen"));
    }

    /** The packaged configuration for the rehearsal at build time, on any free port. */
    public static SidecarConfig forRehearsal() {
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

    /** The file that {@code GW_CONFIG} names; it need not exist. */
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
            throw new InvalidInputException("GW_CONFIG: there is no file " + file);
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
        int maxSockets = (int) fields.part("limits").number("sockets", DEFAULT_MAX_SOCKETS);
        if (maxSockets < MIN_MAX_SOCKETS) {
            throw fields.part("limits").wrongType("sockets", "at least " + MIN_MAX_SOCKETS);
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
            throw fields.wrongType("seed", "a hexadecimal number of 64 bits at the most");
        }
    }
}
