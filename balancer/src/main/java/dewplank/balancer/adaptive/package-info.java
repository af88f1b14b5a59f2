/**
 * The production balancer. Each decision is a class: {@link dewplank.balancer.adaptive.Admission}, {@link
 * dewplank.balancer.adaptive.ServerPicker}, {@link dewplank.balancer.adaptive.HedgingPolicy} and so on.
 * They share the state of one instance, which is accessed only by the host's thread.
 *
 * <p>Only {@link dewplank.balancer.adaptive.AdaptiveBalancer} is public. The order in which decisions draw
 * random numbers and iterate over servers is part of their contract, because recorded traces depend on it.
 */
package dewplank.balancer.adaptive;
