package dewplank.configuration;

import dewplank.configuration.InvalidConfigurationException.Reason;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Validates routes together: no two have the same host and prefix, and every service they refer to exists. */
final class RouteValidator {
    private RouteValidator() {}

    /** Throws if two routes conflict or a route refers to an unknown service; reports the first error of the text. */
    static void validate(List<Route> routes, Map<String, Service> services) throws InvalidConfigurationException {
        Map<String, Set<String>> prefixesByHost = new HashMap<>();
        for (Route route : routes) {
            if (!prefixesOf(prefixesByHost, route.host()).add(route.pathPrefix())) {
                throw error(Reason.SHARED_PREFIX, route, "path_prefix", "another route has this host and prefix");
            }
            for (WeightedService weighted : route.split()) {
                if (!services.containsKey(weighted.service())) {
                    throw error(Reason.UNKNOWN_SERVICE, route, "service", "there is no service " + weighted.service());
                }
            }
        }
    }

    private static Set<String> prefixesOf(Map<String, Set<String>> prefixesByHost, String host) {
        Set<String> prefixes = prefixesByHost.get(host);
        if (prefixes == null) {
            prefixes = new HashSet<>();
            prefixesByHost.put(host, prefixes);
        }
        return prefixes;
    }

    private static InvalidConfigurationException error(Reason reason, Route route, String field, String detail) {
        return new InvalidConfigurationException(reason, "routes[" + route.name() + "]." + field, detail);
    }
}
