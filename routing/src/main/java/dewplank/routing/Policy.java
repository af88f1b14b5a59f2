package dewplank.routing;

import java.util.Collection;
import java.util.EnumSet;
import java.util.Set;

/** Which mechanisms decide: all of them, but in a trial. */
public record Policy(Set<Mechanism> off) {
    /** As it is served. */
    public static final Policy ALL_ENABLED = new Policy(EnumSet.noneOf(Mechanism.class));

    public Policy(Set<Mechanism> off) {
        this.off = Set.copyOf(off);
    }

    /** For a trial: all mechanisms but these. */
    public static Policy without(Collection<Mechanism> off) {
        return new Policy(Set.copyOf(off));
    }

    /** Whether the mechanism decides. */
    public boolean uses(Mechanism mechanism) {
        return !off.contains(mechanism);
    }
}
