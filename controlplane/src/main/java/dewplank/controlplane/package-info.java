/**
 * The program of the control plane.
 *
 * <p>{@link dewplank.controlplane.ControlPlane} starts and stops it, and {@code ControlComponents} connects its
 * components: the mesh of control planes ({@code ControlMesh}, {@code PeerLink}, {@code InboundLink}), the replicated
 * configuration ({@code ConfigurationStore}), the lease of the fleet's singleton role ({@code SingletonRoles}), the
 * tasks of the lease holder ({@code EndpointPoller}, {@code StageController}, {@code AcceptorReconfigurer}), the
 * sessions of data planes ({@code DataPlaneSessions}), and the operators' interface ({@code OperatorApi}).
 *
 * <p>A control plane without a disk, or whose disk can't be used, only reports the addresses of the others (see {@code
 * ControlPlane}).
 *
 * <p>All components run on the thread of one event loop, and obtain clock, sockets, disk and random numbers only from
 * {@code ControlEnvironment}, so that a simulation can replay them. Algorithms that need none of these (consensus,
 * election, placement, stage planning) belong to the modules {@code consensus} and {@code routing}.
 */
package dewplank.controlplane;
