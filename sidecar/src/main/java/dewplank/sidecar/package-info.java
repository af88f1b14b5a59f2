/**
 * The sidecar on sockets: an HTTP proxy for one application, controlled by one balancer.
 *
 * <p>A request is passed from {@code ClientConnection} through {@code RequestDecoder} to {@code BalancerHost}. The
 * balancer returns its decision as an action, which {@code AttemptDispatcher} executes as an {@code HttpAttempt}. One
 * event loop thread owns all state of the package. The balancer makes all decisions about servers, retries and
 * rejections; they do not belong here.
 */
package dewplank.sidecar;
