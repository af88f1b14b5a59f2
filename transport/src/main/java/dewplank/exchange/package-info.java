/**
 * HTTP exchanges on the event loop: calls to servers with their pools of idle connections, the connections of callers
 * with their requests and answers, and the router that finds the handler of a path.
 *
 * <p>Both programs of the fleet and the sidecar use it, on the loop's thread only. It decides nothing about routing,
 * retries or limits.
 */
package dewplank.exchange;
