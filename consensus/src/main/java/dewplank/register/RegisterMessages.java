package dewplank.register;

import java.util.List;

/** The message types of the register in the order that numbers them on the wire. */
public final class RegisterMessages {
    /** All types. The position is the type's number on the wire: append only, never reorder. */
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
