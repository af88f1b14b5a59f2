/**
 * The routing decisions of data planes and control planes: to which server a request is sent
 * ({@link dewplank.routing.ServerPicker}, {@link dewplank.routing.PrefillDecodePicker}), which servers are ejected as
 * unhealthy ({@link dewplank.routing.HealthVotes}), how often requests are retried
 * ({@link dewplank.routing.RetryBudget}), where a stream may be resumed ({@link dewplank.routing.EventSplitter}), and
 * in which stage each model server works ({@link dewplank.routing.StagePlanner}).
 * {@link dewplank.routing.RoutingParameters} defines the parameters of these decisions, and
 * {@link dewplank.routing.Mechanism} the mechanisms that can be disabled for measurements.
 *
 * <p>The package contains only state and arithmetic. Callers run on an event loop; they pass the time with each call
 * and the random number generator once, so that the same calls always result in the same decisions. Sockets, threads,
 * timers, clocks, files, settings, logging and messages of the fleet belong to the data plane and the control plane,
 * which call this package.
 */
package dewplank.routing;
