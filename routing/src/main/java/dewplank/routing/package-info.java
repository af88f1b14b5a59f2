/**
 * The decisions by which the router fleet's programs route requests: which server a request goes to
 * ({@link dewplank.routing.ServerPicker}, {@link dewplank.routing.PrefillDecodePicker}), which servers are ejected as
 * unhealthy ({@link dewplank.routing.HealthVotes}), how often requests are retried
 * ({@link dewplank.routing.RetryBudget}), where a stream may be continued ({@link dewplank.routing.EventSplitter}), and
 * which stage model servers work in ({@link dewplank.routing.StagePlanner}). The figures of all of them stand in
 * {@link dewplank.routing.RoutingParameters}, the switches for trials in {@link dewplank.routing.Mechanism}.
 *
 * <p>Everything here is state and arithmetic. A caller on an event loop gives the time with each call and the source of
 * random numbers once, so the same calls always give the same decisions. Sockets, threads, timers, clocks, files,
 * settings and logging don't belong here, nor do messages of the fleet: the data plane and the control plane have these
 * and call in here.
 */
package dewplank.routing;
