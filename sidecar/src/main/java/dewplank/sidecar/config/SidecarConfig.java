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
 * What one real sidecar is told: the one place where its configuration is read, checked and given defaults.
 * {@code known} is discovery's list as last received, still in discovery's form; {@code peers} is null where
 * the settings allow none.
 */
public record SidecarConfig(
        String name,
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int sockets,
        Fields known,
        Settings settings,
        PeerAddresses peers) {
    private static final int DEFAULT_SOCKETS = 1_024;
    private static final int LEAST_SOCKETS = 256;

    /** Reads the file that {@code GW_CONFIG} names; {@code GW_NAME} and the addresses stand above the file's. */
    public static SidecarConfig fromEnvironment(Map<String, String> environment) {
        return read(environment, Map.of("GW_NAME", "name", "GW_LISTEN", "listen", "GW_DISCOVERY", "discovery"));
    }

    /**
     * Reads it again for a program that runs: the environment is that of the start, so the file's newer
     * {@code discovery} counts. Name and listening address can't change while it runs.
     */
    public static SidecarConfig again(Map<String, String> environment) {
        return read(environment, Map.of("GW_NAME", "name", "GW_LISTEN", "listen"));
    }

    /** A small configuration for the rehearsal at build time. */
    public static SidecarConfig ofRehearsal() {
        try (InputStream in = SidecarConfig.class.getResourceAsStream("/rehearsal.json")) {
            String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
            SidecarConfig c = of(new Fields(Json.object(text), "rehearsal key "));
            return new SidecarConfig(
                    c.name,
                    new InetSocketAddress(c.listen.getAddress(), 0),
                    c.discovery,
                    c.seed,
                    c.sockets,
                    c.known,
                    c.settings,
                    null); // any port that is free
        } catch (IOException e) {
            throw new InvalidInputException("rehearsal.json: " + e.getMessage());
        }
    }

    /** The file that {@code GW_CONFIG} names. */
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

    private static SidecarConfig read(Map<String, String> environment, Map<String, String> above) {
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
        above.forEach((variable, key) -> {
            String value = environment.get(variable);
            if (value != null && !value.isEmpty()) {
                object.put(key, value);
            }
        });
        return of(new Fields(object, "configuration key "));
    }

    static SidecarConfig of(Fields c) {
        int sockets = (int) c.part("limits").number("sockets", DEFAULT_SOCKETS);
        if (sockets < LEAST_SOCKETS) {
            throw c.part("limits").wrongType("sockets", "at least " + LEAST_SOCKETS);
        }
        String name = c.text("name");
        InetSocketAddress listen = Addresses.parse(c, "listen");
        InetSocketAddress discovery = Addresses.parse(c, "discovery");
        long seed = seed(c);
        Fields known = c.requireObject("known");
        Settings settings = Params.settings(c.requireObject("settings"));
        return new SidecarConfig(
                name,
                listen,
                discovery,
                seed,
                sockets,
                known,
                settings,
                settings.limits().exchangesPeerSummaries() ? PeerAddresses.of(c) : null);
    }

    private static long seed(Fields c) {
        try {
            return Long.parseUnsignedLong(c.text("seed"), 16);
        } catch (NumberFormatException e) {
            throw c.wrongType("seed", "a hexadecimal number of 64 bits at the most");
        }
    }
}
