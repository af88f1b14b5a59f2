/**
 * The data plane process, which receives clients' requests and forwards them to servers.
 *
 * <p>{@link dewplank.dataplane.DataPlane} connects the components on one event loop. {@code Forwarder} finds the route
 * of a request; a {@code ProxiedRequest} handles it until its single final response, as a {@code UnaryRequest} or as a
 * {@code GenerationRequest} with a prefill phase and a decode phase. {@code SessionClient} maintains the sessions with
 * control planes, which update the {@code FleetMetadata} that request handling reads. {@code HealthGossip} exchanges
 * servers' health with other data planes.
 *
 * <p>Routing decisions belong to {@code dewplank.routing}, and sockets and HTTP to the module {@code transport}. Code
 * in this package must not block, and must not allocate more for an event of a stream than the event's bytes require,
 * because all streams share one thread.
 */
package dewplank.dataplane;
