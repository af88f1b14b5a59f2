/**
 * HTTP exchanges on the event loop: calls to servers with pools of idle connections, inbound connections of clients
 * with their requests and responses, and the router that finds the handler for a path.
 *
 * <p>Used by both programs of the fleet and by the sidecar, on the loop's thread only. It makes no decisions about
 * routing, retries or limits.
 */
package dewplank.exchange;
