package dewplank.dataplane;

import dewplank.configuration.AccessKeyDigest;
import dewplank.configuration.Route;
import dewplank.configuration.Tenant;
import dewplank.http.Headers;
import java.util.Optional;

/**
 * What a request may be sent to servers by: its route and the access key that its client sent. Asked anew before each
 * attempt, as a key may be taken away, or passed on to another tenant, while the request waits. On the event loop's
 * thread only.
 */
final class Credentials {
    private static final String SCHEME = "Bearer ";

    private final AccessControl accessControl;
    private final Route route;
    private final Optional<AccessKeyDigest> key;

    Credentials(AccessControl accessControl, Route route, Headers headers) {
        this.accessControl = accessControl;
        this.route = route;
        this.key = parse(headers.get(HeaderNames.AUTHORIZATION));
    }

    /** The key of a field's value; empty where that names none. */
    private static Optional<AccessKeyDigest> parse(String value) {
        if (value == null || !value.regionMatches(true, 0, SCHEME, 0, SCHEME.length())) {
            return Optional.empty();
        }
        String key = value.substring(SCHEME.length()).strip();
        return key.isEmpty() ? Optional.empty() : Optional.of(AccessKeyDigest.of(key));
    }

    AccessControl.Decision decide() {
        return accessControl.decide(route, key);
    }

    /** Whether keys are for this program, which keeps them from servers. */
    boolean isKeyRequired() {
        return accessControl.isKeyRequired();
    }

    /** Whether the request may be sent now. */
    boolean isAllowed() {
        return decide() instanceof AccessControl.Decision.Allowed;
    }

    /** Whether the request may be sent now, and is still the request of that tenant, or of none. */
    boolean isAllowedFor(Optional<Tenant> expected) {
        return decide() instanceof AccessControl.Decision.Allowed allowed
                && allowed.tenant().map(Tenant::name).equals(expected.map(Tenant::name));
    }

    /** Whose request it is at the moment; empty where it has no tenant or may not be sent. */
    Optional<Tenant> tenant() {
        return decide() instanceof AccessControl.Decision.Allowed allowed ? allowed.tenant() : Optional.empty();
    }
}
