/**
 * The sidecar on sockets: one proxy beside one application, driven by one balancer.
 *
 * <p>A request goes from {@code ClientConnection} through {@code RequestDecoder} to {@code BalancerHost}; the
 * balancer's decision comes back as an action, which {@code AttemptDispatcher} executes as an {@code HttpAttempt}. One
 * event loop thread owns all state here. No decision about servers, retries or rejections belongs here: those are the
 * balancer's.
 */
package dewplank.sidecar;
