package dewplank.routing;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * A mechanism that decides where, when or whether a request is sent. Each can be disabled by {@code --without} for a
 * trial, which shows its value; {@code docs/policy.md} has the last measurement of each. {@link Policy} holds the
 * disabled ones. Names of the constants are names of options and so stay as they are.
 */
public enum Mechanism {
    /** Unhealthy servers are ejected: they get trial requests only. */
    CONDEMNATION,
    /** The failures that a verdict needs are counted over the fleet; else each data plane counts its own. */
    POOLED_FAILURES,
    /** Trials of an ejected server are paced over the fleet; else each data plane sends one a second. */
    FLEET_TRIALS,
    /** A server that fails is drawn less often. */
    WEIGHTS,
    /** Of two drawn servers the one with the lesser load is taken; else the first. */
    TWO_CHOICES,
    /** Servers of the own zone, or of the zone where the prompt was read, are preferred. */
    ZONE,
    /** Prompts that begin alike go to one prefill server, which has their KV cache. */
    HOMES,
    /** Where there are many prefill servers some are reserved for short prompts. */
    LANES,
    /** A server whose oldest prefill waits for longer than expected counts as stalled. */
    STUCK,
    /** Queue delays that prompts met at a prefill server lately count as its load. */
    QUEUE_MEMORY,
    /** Of two decode servers alike the one with an idle connection is preferred. */
    REUSE,
    /** A server that rejected a request, or let no connection in, gets none during a backoff. */
    RESTING,
    /** An overdue request is hedged: another server gets it. */
    PATIENCE,
    /** An overdue long prompt that may go to no other prefill server is waited for, not given to a decode server. */
    LONG_WAIT,
    /** Short prompts are prefilled before long ones, urgent routes are decoded before others. */
    PRIORITY,
    /** Model servers are ordered to change their stage. */
    STAGE_ORDERS,
    /** Several servers change their stage at once; else one after the other. */
    SEVERAL_ORDERS;

    /** The name as {@code --without} takes and prints it. */
    public String optionName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The mechanism of that name; empty where there is none. */
    public static Optional<Mechanism> ofOptionName(String text) {
        return Stream.of(values())
                .filter(mechanism -> mechanism.optionName().equals(text))
                .findFirst();
    }
}
