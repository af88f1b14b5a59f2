package dewplank.register;

import java.util.List;

/** The message types of the register, in the order of their numbers on the wire. */
public final class RegisterMessages {
    /** All types. The index of a type is its number on the wire: only append, never reorder. */
    public static final List<Class<? extends RegisterMessage>> TYPES = List.of(
            Prepare.class,
            Promise.class,
            Accept.class,
            Accepted.class,
            Reject.class,
            StatusQuery.class,
            StatusReport.class,
            Chosen.class);

    private RegisterMessages() {}
}
