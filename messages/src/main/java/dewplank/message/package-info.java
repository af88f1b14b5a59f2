/**
 * The messages between the fleet's own processes, and the connections that carry them.
 *
 * <p>The package contains the message classes for sessions and for the mesh of control planes, the codec that encodes
 * them as frames with Protostuff bodies, and the TCP connections. The control plane and the data plane decide which
 * messages to send and when. HTTP between clients, routers and model servers has its own packages.
 *
 * <p>Protostuff numbers a field by its position in its class. Therefore, in a message class and in every class that it
 * refers to, fields must not be moved, removed or added before existing fields; they may be renamed. Empty lists are
 * not sent, so a message class with a list has a private constructor that sets it to an empty list.
 */
package dewplank.message;
