package dewplank.routing;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * One thing that decides where, when or whether a request is sent. Each can be switched off for a trial, which shows
 * what it is worth; {@code docs/policy.md} has the last measurement of each.
 */
public enum Mechanism {
    /** Servers with an unhealthy verdict get trials only. */
    CONDEMNATION,
    /** The failures that a verdict needs are counted over the fleet; else each data plane needs them by itself. */
    POOLED_FAILURES,
    /** Trials of a condemned server are paced over the fleet; else each data plane sends one a second. */
    FLEET_TRIALS,
    /** A server that fails is drawn less often. */
    WEIGHTS,
    /** Of two drawn servers the one with the lesser load is taken; else the first. */
    TWO_CHOICES,
    /** Servers of the own zone, or of the zone where the prompt was read, are preferred. */
    ZONE,
    /** Prompts that begin alike go to one prefill server. */
    HOMES,
    /** Where there are many prefill servers some are kept for short prompts. */
    LANES,
    /** A server whose oldest request waits for longer than expected counts as loaded. */
    STUCK,
    /** How long prompts waited at a prefill server lately counts as its load. */
    QUEUE_MEMORY,
    /** Of two decode servers alike one is preferred to which a connection rests. */
    REUSE,
    /** A server that turned a request away, or let no connection in, is left alone for a while. */
    RESTING,
    /** A request that takes longer than expected is sent to another server. */
    PATIENCE,
    /** A long prompt that no other prefill server may be asked for is waited for, not given to a decode server. */
    LONG_WAIT,
    /** Short prompts are read before long ones, urgent routes run before others. */
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
        return Stream.of(values()).filter(m -> m.optionName().equals(text)).findFirst();
    }
}
