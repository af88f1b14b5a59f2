package dewplank.routing;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Set;

/**
 * The enabled mechanisms: all of them, except in measurements of the value of a mechanism. A program sets the policy
 * from its command line when it starts and does not change it afterwards. {@link RoutingParameters} configures the
 * mechanisms. Immutable.
 *
 * @param disabled the disabled mechanisms
 */
public record Policy(Set<Mechanism> disabled) {
    /** The policy in production, with all mechanisms enabled. */
    public static final Policy ALL_ENABLED = new Policy(EnumSet.noneOf(Mechanism.class));

    /** Creates a policy with a copy of the set. */
    public Policy(Set<Mechanism> disabled) {
        this.disabled = Set.copyOf(disabled);
    }

    /** Creates a policy for a measurement, with all mechanisms enabled except these; duplicates are allowed. */
    public static Policy without(Collection<Mechanism> disabled) {
        return new Policy(Set.copyOf(disabled));
    }

    /** Whether the mechanism is enabled. */
    public boolean isEnabled(Mechanism mechanism) {
        return !disabled.contains(mechanism);
    }
}
