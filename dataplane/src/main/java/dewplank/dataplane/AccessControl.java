package dewplank.dataplane;

import dewplank.configuration.AccessKeyDigest;
import dewplank.configuration.Configuration;
import dewplank.configuration.Route;
import dewplank.configuration.Tenant;
import dewplank.net.Scheduler;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Decides whether a request with an access key, or without one, may be sent to a server now. Where revocation is closed
 * it decides so only while the configuration in force here is known to be recent: a data plane that has lost contact
 * stops serving keys before one that was taken away meanwhile would have to be refused ({@code docs/design-quotas.md}).
 * On the event loop's thread only.
 */
final class AccessControl {
    private static final Logger LOG = LoggerFactory.getLogger(AccessControl.class);

    /** By which the clocks of two machines may differ in rate. */
    private static final double MAX_CLOCK_DRIFT = 0.02;
    /** A process may be held up for so long between reading its clock and writing to a socket. */
    private static final double MAX_STALL_MS = 150;

    /**
     * The settings' bounds on the use of revoked keys.
     *
     * @param closed whether a key has to be refused where it is not known that it still holds
     * @param withinMs by when a key is refused after the acknowledgement of its revocation
     */
    record Revocation(boolean closed, double withinMs) {
        /** Keys hold as the configuration in force here has them. */
        static final Revocation OPEN = new Revocation(false, 0);
    }

    /** What is decided on a request. */
    sealed interface Decision {
        /** It may be sent, for the tenant if it has one. */
        record Allowed(Optional<Tenant> tenant) implements Decision {}

        /** No tenant of the configuration in force holds its key. */
        record UnknownKey() implements Decision {}

        /** The configuration in force may be too old to decide by. */
        record Unconfirmed() implements Decision {}
    }

    private static final Decision ANONYMOUS = new Decision.Allowed(Optional.empty());
    private static final Decision UNKNOWN_KEY = new Decision.UnknownKey();
    private static final Decision UNCONFIRMED = new Decision.Unconfirmed();

    private final Scheduler loop;
    private final FleetMetadata fleet;
    private final Revocation revocation;
    private boolean wasConfirmed;

    AccessControl(Scheduler loop, FleetMetadata fleet, Revocation revocation) {
        this.loop = loop;
        this.fleet = fleet;
        this.revocation = revocation;
    }

    /** Decides by the configuration in force; there must be one. */
    Decision decide(Route route, Optional<AccessKeyDigest> key) {
        Configuration configuration = fleet.configuration();
        if (!configuration.requiresAccessKeys()) {
            return ANONYMOUS;
        }
        Optional<Tenant> tenant = key.flatMap(configuration.tenantDirectory()::findByKey);
        if (route.isPublic()) {
            return tenant.isPresent() && isConfirmed() ? new Decision.Allowed(tenant) : ANONYMOUS;
        }
        if (!isConfirmed()) {
            return UNCONFIRMED;
        }
        return tenant.isPresent() ? new Decision.Allowed(tenant) : UNKNOWN_KEY;
    }

    /** Whether the configuration in force has tenants, so that requests need keys but on public routes. */
    boolean isKeyRequired() {
        return fleet.configuration().requiresAccessKeys();
    }

    /** Whether requests with keys can be served: none are needed, or the configuration is recent enough. */
    boolean isServing() {
        return fleet.configuration() != null && (!fleet.configuration().requiresAccessKeys() || isConfirmed());
    }

    /**
     * Whether every revocation that was acknowledged longer ago than its bound is in force here. What was acknowledged
     * before {@link FleetMetadata#confirmedAtMs} is.
     */
    private boolean isConfirmed() {
        if (!revocation.closed()) {
            return true;
        }
        double validityMs = revocation.withinMs() * (1 - MAX_CLOCK_DRIFT) - MAX_STALL_MS;
        double ageMs = loop.now() - fleet.confirmedAtMs();
        boolean confirmed = ageMs <= validityMs;
        if (confirmed != wasConfirmed) {
            wasConfirmed = confirmed;
            LOG.info("configuration lease {} ageMs={}", confirmed ? "held" : "expired", Math.round(ageMs));
        }
        return confirmed;
    }
}
