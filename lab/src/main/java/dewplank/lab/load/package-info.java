/**
 * The load tool: an open loop of requests with intended start times, against any HTTP/1.1 target, and a target of its
 * own that does no work. A latency counts from the moment at which the request was to start, so that a target that
 * stalls can't hide what it did to those that had to wait (coordinated omission; Tene, HdrHistogram).
 */
package dewplank.lab.load;
