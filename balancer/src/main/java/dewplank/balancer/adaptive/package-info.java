/**
 * The balancer in service, of which each decision is a class: {@link dewplank.balancer.adaptive.Admission},
 * {@link dewplank.balancer.adaptive.ServerPicker}, {@link dewplank.balancer.adaptive.HedgingPolicy} and so
 * on. They share state of one instance, which only the host's thread touches.
 *
 * <p>Only {@link dewplank.balancer.adaptive.AdaptiveBalancer} is public. The order in which decisions draw
 * random numbers and look at servers is part of what they promise: recorded traces hold it.
 */
package dewplank.balancer.adaptive;
