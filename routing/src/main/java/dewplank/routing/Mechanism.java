package dewplank.routing;

import java.util.Locale;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * A mechanism that decides where, when or whether a request is sent. The option {@code --without} disables a mechanism
 * to measure its value; {@code docs/policy.md} has the last measurement of each. {@link Policy} contains the disabled
 * mechanisms. The names of the constants are option values, so they must not change.
 */
public enum Mechanism {
    /** Unhealthy servers are ejected and get only trial requests. */
    CONDEMNATION,
    /** The failures required for an ejection are counted over the fleet; otherwise each data plane counts its own. */
    POOLED_FAILURES,
    /**
     * The rate of trials of an ejected server is limited over the fleet; otherwise each data plane sends one per
     * second.
     */
    FLEET_TRIALS,
    /** A server with failures has a lower weight in random draws. */
    WEIGHTS,
    /** The server with the lower load of two drawn servers is picked; otherwise the first drawn server. */
    TWO_CHOICES,
    /** Servers in the data plane's zone, or in the zone where the prompt was prefilled, are preferred. */
    ZONE,
    /** Prompts with the same prefix go to the same prefill server, which has the prefix in its KV cache. */
    HOMES,
    /** If there are many prefill servers, some of them are reserved for short prompts. */
    LANES,
    /** A server whose oldest prefill has waited longer than expected counts as stalled. */
    STUCK,
    /** Recent queue delays of prompts at a prefill server count as its load. */
    QUEUE_MEMORY,
    /** A decode server without an idle connection counts as more loaded, by the cost of a new connection. */
    REUSE,
    /** A server that rejected a request or a connection gets no requests during a backoff. */
    RESTING,
    /** An overdue request is hedged: it is sent to another server. */
    PATIENCE,
    /** An overdue long prompt without another prefill server continues to wait and does not go to a decode server. */
    LONG_WAIT,
    /** Short prompts are prefilled before long ones, and urgent routes are decoded before others. */
    PRIORITY,
    /** Model servers are ordered to change their stage. */
    STAGE_ORDERS,
    /** Several servers change their stage at the same time; otherwise one after the other. */
    SEVERAL_ORDERS;

    /** The name as the option {@code --without} reads and prints it. */
    public String optionName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** The mechanism with this option name; empty if there is none. */
    public static Optional<Mechanism> ofOptionName(String text) {
        return Stream.of(values())
                .filter(mechanism -> mechanism.optionName().equals(text))
                .findFirst();
    }
}
