package dewplank.client;

import dewplank.configuration.Configuration;
import dewplank.configuration.EngineProfile;
import dewplank.configuration.RequestLimits;
import dewplank.configuration.Route;
import dewplank.configuration.Service;
import dewplank.configuration.WeightedService;
import dewplank.settings.Fields;
import dewplank.settings.Json;
import java.util.List;
import java.util.Locale;
import java.util.stream.Collectors;

/** Formats a configuration as text for operators. */
public final class ConfigurationText {
    private ConfigurationText() {}

    /** Formats the version, routes, services, tenants with their access keys, and limits. */
    public static String of(Configuration configuration, KeyDisplay keys) {
        return "configuration " + configuration.version() + "\n\n" + routes(configuration) + "\n"
                + services(configuration) + "\n" + tenants(configuration, keys) + limits(configuration.limits()) + "\n";
    }

    private static TextTable routes(Configuration configuration) {
        TextTable routes = new TextTable(
                "ROUTE", "HOST", "PREFIX", "TYPE", "TIMEOUT MS", "AIM MS", "PRIORITY", "TRIES", "SERVICES");
        for (Route r : configuration.routes()) {
            routes.row(
                    r.name(),
                    r.host(),
                    r.pathPrefix(),
                    type(r),
                    number(r.timeoutMs()),
                    number(r.targetLatencyMs()),
                    r.priority(),
                    r.maxAttempts(),
                    split(r.split()));
        }
        return routes;
    }

    private static TextTable services(Configuration configuration) {
        TextTable services = new TextTable("SERVICE", "HEALTH", "CONNECTIONS", "ENGINE");
        for (Service s : configuration.services().values()) {
            services.row(s.name(), s.healthPath(), s.maxConnections(), engine(s.engine()));
        }
        return services;
    }

    /** Formats the tenants with their access keys; returns an empty text if there are none. */
    private static String tenants(Configuration configuration, KeyDisplay keys) {
        if (!configuration.requiresAccessKeys()) {
            return "";
        }
        TextTable tenants = new TextTable("TENANT", "ACCESS KEYS");
        Fields fields = new Fields(Json.object(keys.json(configuration)), "");
        for (Fields tenant : fields.list("tenants")) {
            tenants.row(tenant.text("name"), String.join(" ", tenant.strings("access_keys")));
        }
        return tenants + "\n";
    }

    /** Formats a number; an integral number has no decimal places. */
    static String number(double value) {
        return value == Math.rint(value) && Math.abs(value) < Long.MAX_VALUE
                ? Long.toString((long) value)
                : Double.toString(value);
    }

    static String type(Route route) {
        return route.type().name().toLowerCase(Locale.ROOT)
                + (route.resumable() ? ", resumable" : "")
                + (route.isPublic() ? ", public" : "");
    }

    private static String split(List<WeightedService> split) {
        return split.size() == 1
                ? split.get(0).service()
                : split.stream()
                        .map(s -> s.service() + ":" + number(s.weight()))
                        .collect(Collectors.joining(" "));
    }

    private static String engine(EngineProfile engine) {
        return engine == null
                ? ""
                : engine.slotCount() + " slots, " + engine.kvTokens() + " tokens, " + String.join(" ", engine.models());
    }

    static String limits(RequestLimits limits) {
        return "head up to " + limits.maxHeaderBytes() + " bytes within " + number(limits.headerTimeoutMs())
                + " ms, body up to " + limits.maxBodyBytes() + " bytes, idle up to "
                + number(limits.idleTimeoutMs()) + " ms";
    }
}
