package dewplank.controlplane;

import com.jsoniter.JsonIterator;
import com.jsoniter.any.Any;
import com.jsoniter.spi.JsonException;
import dewplank.message.Endpoint;
import dewplank.routing.StagePlanner;

/**
 * What a model server reported of itself: the body of {@code GET /report}.
 *
 * @param engine the server as the planner sees it
 * @param receivedAt when the report arrived, on the loop's clock in milliseconds
 */
record ModelServerReport(StagePlanner.ModelServer engine, double receivedAt) {
    /** Reads a report of that server; a field that is missing is an error. */
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
        } catch (JsonException | ArrayIndexOutOfBoundsException e) { // the latter: jsoniter on a text that breaks off
            throw new UnreadableResponseException(e);
        }
    }
}
