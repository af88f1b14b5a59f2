/**
 * The load tool: an open loop of requests with intended start times against any HTTP/1.1 target, and a stand-in target
 * that does no work. A latency counts from the moment at which the request was to start, so that a target that stalls
 * can't hide what it did to those that had to wait (coordinated omission; Tene, HdrHistogram).
 *
 * <p>A {@code LoadRun} plays a {@code LoadPlan} over workers, each with an event loop, and gives a {@code LoadOutcome}.
 * Nothing here knows servers' models, scenarios or the decision module.
 */
package dewplank.lab.load;
