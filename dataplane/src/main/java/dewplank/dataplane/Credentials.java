package dewplank.dataplane;

import dewplank.configuration.AccessKeyDigest;
import dewplank.configuration.Route;
import dewplank.configuration.Tenant;
import dewplank.http.Headers;
import java.util.Optional;

/**
 * The route of a request and its client's access key, which determine whether the request may be sent to servers. They
 * are checked again before each attempt, because a key may be revoked or reassigned to another tenant while the request
 * waits. Not thread-safe; must be used on the event loop's thread only.
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

    /** Parses the value of an Authorization field; empty if it has no bearer key. */
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

    /** Whether access keys are checked by this data plane, which then does not forward them to servers. */
    boolean isKeyRequired() {
        return accessControl.isKeyRequired();
    }

    /** Whether the request may be sent now. */
    boolean isAllowed() {
        return decide() instanceof AccessControl.Decision.Allowed;
    }

    /** Whether the request may be sent now and still belongs to the expected tenant, or to none if that is empty. */
    boolean isAllowedFor(Optional<Tenant> expected) {
        return decide() instanceof AccessControl.Decision.Allowed allowed
                && allowed.tenant().map(Tenant::name).equals(expected.map(Tenant::name));
    }

    /** The tenant to which the request currently belongs; empty if it has none or may not be sent. */
    Optional<Tenant> tenant() {
        return decide() instanceof AccessControl.Decision.Allowed allowed ? allowed.tenant() : Optional.empty();
    }
}
