package dewplank.controlplane;

import com.jsoniter.JsonIterator;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
import dewplank.message.Endpoint;
import dewplank.routing.StagePlanner;

/**
 * The state that a model server reported: the body of {@code GET /report}.
 *
 * @param engine the reported state, as input of the planner
 * @param receivedAt when the report arrived, on the loop's clock in milliseconds
 */
record ModelServerReport(StagePlanner.ModelServer engine, double receivedAt) {
    /** Parses a report of that server; a missing field is an error. */
    static ModelServerReport parse(Endpoint server, byte[] body, double receivedAt) throws UnreadableResponseException {
        try {
            Any report = JsonIterator.deserialize(body);
            StagePlanner.ModelServer engine = new StagePlanner.ModelServer(
                    server.instanceId,
                    server.zone,
                    "prefill".equals(report.toString("stage")),
                    report.toBoolean("busy"),
                    report.toInt("queued"),
                    report.toInt("active"),
                    server.slotCount,
                    report.toLong("kv_used"),
                    report.toLong("kv_capacity"));
            return new ModelServerReport(engine, receivedAt);
        } catch (JsonException | ArrayIndexOutOfBoundsException e) { // the latter: jsoniter on truncated text
            throw new UnreadableResponseException(e);
        }
    }
}
