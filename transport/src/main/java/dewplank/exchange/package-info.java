/**
 * HTTP exchanges on the loop: calls to servers and their idle connections, requests of callers and their answers, and the
 * tree of matchers that finds the handler of a call. Both programs of the fleet and the sidecar use it.
 */
package dewplank.exchange;
