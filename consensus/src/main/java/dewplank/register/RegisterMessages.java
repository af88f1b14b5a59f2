package dewplank.register;

import java.util.List;

/** The kinds of register messages. */
public final class RegisterMessages {
    /** All kinds in a fixed order, which numbers them on the wire: only add at the end. */
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
