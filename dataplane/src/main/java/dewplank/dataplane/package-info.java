/**
 * The data plane's program, which takes clients' requests and forwards them to servers.
 *
 * <p>{@link dewplank.dataplane.DataPlane} wires the parts on one event loop. {@code Forwarder} finds a request's route;
 * a {@code ProxiedRequest} carries it to its one final answer, as a {@code UnaryRequest} or as a {@code
 * GenerationRequest} with its prefill and decode phases. {@code SessionClient} holds the sessions with control planes
 * and writes {@code FleetMetadata}, which the request path reads. {@code HealthGossip} exchanges servers' health with
 * other data planes.
 *
 * <p>What decides where a request goes lives in {@code dewplank.routing}, sockets and HTTP in the module {@code
 * transport}: neither belongs here. Nothing here may block, or allocate for each event of a stream beyond what the
 * event's bytes need: all streams share the one thread.
 */
package dewplank.dataplane;
