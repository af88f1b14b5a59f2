package dewplank.simhost;

import dewplank.balancer.Endpoint;
import dewplank.balancer.Endpoint.Availability;
import dewplank.balancer.Event;
import dewplank.balancer.Event.AttemptEnded;
import dewplank.balancer.Event.EndpointUpdate;
import dewplank.balancer.Event.HealthChecked;
import dewplank.balancer.Event.PeerSummaryReceived;
import dewplank.balancer.Event.RequestAbandoned;
import dewplank.balancer.Event.RequestArrived;
import dewplank.balancer.Event.StreamStarted;
import dewplank.balancer.Event.TimerFired;
import dewplank.balancer.Event.UpdateKind;
import dewplank.balancer.Outcome;
import dewplank.settings.InvalidInputException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Decodes events from the simulator's messages. It stores the endpoint lists, each of which is sent once with a slot
 * number; the updates of the instances refer to the slot.
 */
final class EventDecoder {
    private static final int COST_VALID_BIT = 1;
    private static final int RETRY_BIT = 2;
    private static final int SLOTS = 16;

    private static final Map<String, UpdateKind> UPDATE_KINDS = Map.of(
            "patch", UpdateKind.INCREMENTAL,
            "whole", UpdateKind.FULL,
            "stale_copy", UpdateKind.CACHED,
            "broken", UpdateKind.BROKEN);
    private static final Map<String, Availability> AVAILABILITIES =
            Map.of("up", Availability.UP, "draining", Availability.DRAINING, "removed", Availability.REMOVED);
    private static final Map<String, Outcome> OUTCOMES = Map.of(
            "success", Outcome.SERVED,
            "failure", Outcome.ERROR,
            "overloaded", Outcome.REJECTED,
            "timed_out", Outcome.TIMED_OUT,
            "unreachable", Outcome.CONNECT_FAILED,
            "broken", Outcome.RESET,
            "withdrawn", Outcome.CANCELLED,
            "void", Outcome.NEVER_SENT);

    private final List<List<Endpoint>> endpointLists = new ArrayList<>();

    EventDecoder() {
        for (int slot = 0; slot < SLOTS; slot++) {
            endpointLists.add(null);
        }
    }

    /** Stores the endpoint list of a {@code SNAPSHOT_ROWS} message. */
    void storeEndpoints(WireMessage message) {
        endpointLists.set(slot(message, 1), endpoints(message.array(2)));
    }

    /**
     * Decodes the event in the message.
     *
     * @throws InvalidInputException if the message is not an event, or a value is missing or has the wrong type
     */
    Event event(WireMessage message) {
        return switch (message.name()) {
            case "VIEW" -> endpointUpdate(message);
            case "INBOUND" -> requestArrived(message);
            case "ACK_FIRST" -> new StreamStarted(message.integer(2), message.nonNegative(5), message.number(4));
            case "FINISHED" -> new AttemptEnded(
                    message.integer(2),
                    message.nonNegative(3),
                    message.text(4),
                    enumValue(OUTCOMES, message, 5),
                    message.number(6),
                    message.flag(7),
                    message.numbersOrNull(8));
            case "ABANDONED" -> new RequestAbandoned(message.integer(2));
            case "DEADLINE_HIT" -> new TimerFired(message.integer(2));
            case "PROBE_DONE" -> new HealthChecked(
                    message.text(3),
                    enumValue(OUTCOMES, message, 2) == Outcome.SERVED,
                    message.number(4),
                    message.numbersOrNull(5));
            case "NEIGHBOUR_SAYS" -> new PeerSummaryReceived(message.nonNegative(2), bytes(message, 3));
            default -> throw new InvalidInputException("unknown message " + message.name());
        };
    }

    private EndpointUpdate endpointUpdate(WireMessage message) {
        UpdateKind kind = enumValue(UPDATE_KINDS, message, 4);
        List<Endpoint> endpoints = kind == UpdateKind.BROKEN ? List.of() : endpointLists.get(slot(message, 2));
        if (endpoints == null) {
            throw new InvalidInputException("VIEW: no list in slot " + message.nonNegative(2));
        }
        return new EndpointUpdate(kind, endpoints);
    }

    private static RequestArrived requestArrived(WireMessage message) {
        int bits = message.nonNegative(5);
        boolean hasCost = (bits & COST_VALID_BIT) != 0 && message.has(8);
        boolean hasTenant = message.has(3) && message.values().get(3) instanceof String;
        return new RequestArrived(
                message.integer(2),
                hasTenant ? message.text(3) : null,
                message.has(4) ? message.text(4) : null,
                (bits & RETRY_BIT) != 0,
                message.text(6),
                message.number(7),
                hasCost ? (Double) message.number(8) : null);
    }

    /** Decodes the rows. If a server has several rows, the last one applies, at the position of the first. */
    private static List<Endpoint> endpoints(List<Object> rows) {
        Map<String, Endpoint> endpoints = new LinkedHashMap<>();
        for (Object row : rows) {
            if (!(row instanceof List<?> values)) {
                throw new InvalidInputException("SNAPSHOT_ROWS: an entry should be an array");
            }
            List<Object> valuesWithName = new ArrayList<>(values);
            valuesWithName.add(0, "SNAPSHOT_ROWS entry");
            Endpoint endpoint = endpoint(new WireMessage("SNAPSHOT_ROWS entry", valuesWithName));
            endpoints.put(endpoint.server(), endpoint);
        }
        return List.copyOf(endpoints.values());
    }

    private static Endpoint endpoint(WireMessage row) {
        Double startedAtMs = row.has(7) && row.number(7) > 0 ? (Double) row.number(7) : null;
        double weight = row.has(6) ? row.number(6) : 1;
        return new Endpoint(
                row.text(1),
                row.text(2),
                row.has(3) ? row.text(3) : "",
                row.has(4) ? row.integer(4) : 0,
                enumValue(AVAILABILITIES, row, 5),
                weight,
                startedAtMs);
    }

    private static int slot(WireMessage message, int position) {
        int slot = message.nonNegative(position);
        if (slot >= SLOTS) {
            throw new InvalidInputException(message.name() + ": slot " + slot + " is out of range");
        }
        return slot;
    }

    private static <T> T enumValue(Map<String, T> valueByName, WireMessage message, int position) {
        T value = valueByName.get(message.text(position));
        if (value == null) {
            throw new InvalidInputException(message.name() + ": unknown value " + message.text(position));
        }
        return value;
    }

    private static byte[] bytes(WireMessage message, int position) {
        try {
            return Base64.getDecoder().decode(message.text(position));
        } catch (IllegalArgumentException e) {
            throw new InvalidInputException(message.name() + ": value " + position + " is not base64");
        }
    }
}
