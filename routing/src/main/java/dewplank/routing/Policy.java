package dewplank.routing;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Set;

/** Which mechanisms decide: all of them, but in a trial. */
public record Policy(Set<Mechanism> disabled) {
    /** As it is served. */
    public static final Policy ALL_ENABLED = new Policy(EnumSet.noneOf(Mechanism.class));

    public Policy(Set<Mechanism> disabled) {
        this.disabled = Set.copyOf(disabled);
    }

    /** For a trial: all mechanisms but these. */
    public static Policy without(Collection<Mechanism> off) {
        return new Policy(Set.copyOf(off));
    }

    /** Whether the mechanism decides. */
    public boolean isEnabled(Mechanism mechanism) {
        return !disabled.contains(mechanism);
    }
}
