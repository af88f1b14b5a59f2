/**
 * The sidecar's discovery client: the last received endpoint list, and the watch that keeps it up to date.
 *
 * <p>All code runs on the event loop's thread. The package decodes the lists and stores the servers' addresses. The
 * balancer decides how to react to a change; such decisions do not belong here.
 */
package dewplank.discovery;
