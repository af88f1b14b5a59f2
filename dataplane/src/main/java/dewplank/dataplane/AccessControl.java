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
 * Decides whether a request, with or without an access key, may be sent to a server now. If the setting {@code
 * revocation_closed} is true, revocation fails closed: keys are accepted only while the configuration in force is
 * confirmed to be recent. A data plane that loses contact with the control planes stops accepting keys before the time
 * by which it must reject a key that was revoked meanwhile ({@code docs/design-quotas.md}). Not thread-safe; must be
 * used on the event loop's thread only.
 */
final class AccessControl {
    private static final Logger LOG = LoggerFactory.getLogger(AccessControl.class);

    /** Maximum difference in rate between the clocks of two machines, as a fraction. */
    private static final double MAX_CLOCK_DRIFT = 0.02;
    /** Maximum pause of a process between reading its clock and writing to a socket. */
    private static final double MAX_PAUSE_MS = 150;

    /**
     * The settings that limit the use of revoked keys: {@code revocation_closed} and {@code revoke_ms}.
     *
     * @param failsClosed whether revocation fails closed: all keys are rejected while the configuration in force is not
     *     confirmed to be recent
     * @param rejectWithinMs maximum time from the acknowledgement of a revocation until the key is rejected
     */
    record Revocation(boolean failsClosed, double rejectWithinMs) {
        /** Revocation fails open: keys are accepted according to the configuration in force, however old it is. */
        static final Revocation OPEN = new Revocation(false, 0);
    }

    /** The decision on a request. */
    sealed interface Decision {
        /** The request may be sent, on behalf of the tenant if it has one. */
        record Allowed(Optional<Tenant> tenant) implements Decision {}

        /** The request has no key, or one that belongs to no tenant of the configuration in force. */
        record UnknownKey() implements Decision {}

        /** The configuration in force may be too old for a decision. */
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

    /** Decides according to the configuration in force, which must exist. */
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

    /** Whether the configuration in force has tenants, so that all routes except public ones require a key. */
    boolean isKeyRequired() {
        return fleet.configuration().requiresAccessKeys();
    }

    /** Whether requests can be served on all routes: no keys are required, or the configuration is recent enough. */
    boolean isServing() {
        return fleet.configuration() != null && (!fleet.configuration().requiresAccessKeys() || isConfirmed());
    }

    /**
     * Whether all revocations that were acknowledged longer ago than {@link Revocation#rejectWithinMs} are in force
     * here. All revocations that were acknowledged before {@link FleetMetadata#confirmedAtMs} are.
     */
    private boolean isConfirmed() {
        if (!revocation.failsClosed()) {
            return true;
        }
        double validityMs = revocation.rejectWithinMs() * (1 - MAX_CLOCK_DRIFT) - MAX_PAUSE_MS;
        double ageMs = loop.now() - fleet.confirmedAtMs();
        boolean confirmed = ageMs <= validityMs;
        if (confirmed != wasConfirmed) {
            wasConfirmed = confirmed;
            LOG.info("configuration lease {} ageMs={}", confirmed ? "held" : "expired", Math.round(ageMs));
        }
        return confirmed;
    }
}
