/**
 * The control plane's program.
 *
 * <p>{@link dewplank.controlplane.ControlPlane} starts and ends it, {@code ControlComponents} wires its parts: the mesh
 * of control planes ({@code ControlMesh}, {@code PeerLink}, {@code InboundLink}), the replicated configuration ({@code
 * ConfigurationStore}), the lease of the fleet's singleton role ({@code SingletonRoles}) with what its holder does
 * ({@code EndpointPoller}, {@code StageController}, {@code AcceptorReconfigurer}), data planes' sessions ({@code
 * DataPlaneSessions}), and the operators' interface ({@code OperatorApi}).
 *
 * <p>All of it runs on the thread of one event loop, and takes clock, sockets, disk and random numbers from {@code
 * ControlEnvironment} only, so that a simulation can replay it. Rules that need neither of these (consensus, election,
 * placement, planning of stages) belong to the modules {@code consensus} and {@code routing}, not here.
 */
package dewplank.controlplane;
