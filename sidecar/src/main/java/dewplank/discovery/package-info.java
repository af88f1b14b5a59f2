/**
 * The sidecar's client of discovery: the endpoint list as last received, and the watch that keeps it up to date.
 *
 * <p>All of it runs on the event loop's thread. It knows the list's form and the servers' addresses. What follows from
 * a change is the balancer's decision and does not belong here.
 */
package dewplank.discovery;
