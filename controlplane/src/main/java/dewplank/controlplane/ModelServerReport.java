package dewplank.controlplane;

import com.jsoniter.JsonIterator;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
import dewplank.message.Endpoint;
import dewplank.routing.StagePlanner;

/**
 * The state that a model server reported: the body of {@code GET /report}.
 *
 * @param state the reported state, as input of the planner
 * @param receivedAt when the report arrived, on the loop's clock in milliseconds
 */
record ModelServerReport(StagePlanner.ModelServer state, double receivedAt) {
    /** Parses a report of that server; a missing field is an error. */
    static ModelServerReport parse(Endpoint server, byte[] body, double receivedAt) throws UnreadableResponseException {
        try {
            Any report = JsonIterator.deserialize(body);
            StagePlanner.ModelServer state = new StagePlanner.ModelServer(
                    server.instanceId,
                    server.zone,
                    "prefill".equals(report.toString("stage")),
                    report.toBoolean("busy"),
                    report.toInt("queued"),
                    report.toInt("active"),
                    server.slotCount,
                    report.toLong("kv_used"),
                    report.toLong("kv_capacity"));
            return new ModelServerReport(state, receivedAt);
        } catch (JsonException | ArrayIndexOutOfBoundsException e) { // jsoniter throws the latter on truncated text
            throw new UnreadableResponseException(e);
        }
    }
}
