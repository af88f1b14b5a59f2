/**
 * The messages between the fleet's own processes, and the connections that carry them.
 *
 * <p>Here live the message classes of sessions and of the control planes' mesh, the codec that frames them with
 * Protostuff bodies, and the TCP connection below. Who sends what and when does not live here: that is decided by the
 * control plane and the data plane. HTTP between clients, routers and model servers has its own packages.
 *
 * <p>Protostuff numbers a field by its position in its class. So in a message class, and in every class that one refers
 * to, no field may be moved, added before another or removed; a field may be renamed. Empty lists are not sent: a
 * message with a list has a private constructor that leaves an empty one in place.
 */
package dewplank.message;
