package dewplank.routing;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Set;

/**
 * Which mechanisms decide: all of them, but for trials that measure what one is worth. Given to a program by its
 * command line at its start and not changed; {@link RoutingParameters} says how each decides. Immutable.
 *
 * @param disabled the mechanisms that do not decide
 */
public record Policy(Set<Mechanism> disabled) {
    /** All mechanisms decide, as in service. */
    public static final Policy ALL_ENABLED = new Policy(EnumSet.noneOf(Mechanism.class));

    /** Takes a copy of the set. */
    public Policy(Set<Mechanism> disabled) {
        this.disabled = Set.copyOf(disabled);
    }

    /** For a trial: all mechanisms but these; one that is named twice is disabled once. */
    public static Policy without(Collection<Mechanism> disabled) {
        return new Policy(Set.copyOf(disabled));
    }

    /** Whether the mechanism decides. */
    public boolean isEnabled(Mechanism mechanism) {
        return !disabled.contains(mechanism);
    }
}
