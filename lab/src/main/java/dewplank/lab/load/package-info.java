/**
 * The load tool: an open-loop load generator for any HTTP/1.1 target, and a stub server that does no work. Latencies
 * are measured from the intended start of each request, so a stall of the target also shows in the latencies of the
 * requests that were delayed by it (coordinated omission; Tene, HdrHistogram).
 *
 * <p>A {@code LoadRun} executes a {@code LoadPlan} on workers, each with an event loop, and returns a
 * {@code LoadOutcome}. This package does not depend on server models, scenarios or the decision module.
 */
package dewplank.lab.load;
