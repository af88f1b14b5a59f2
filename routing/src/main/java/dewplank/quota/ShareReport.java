package dewplank.quota;

/**
 * What a control plane tells in its heartbeats of the share that it holds. Immutable.
 *
 * @param fraction the share that it holds, 0 where it holds none
 * @param fencingToken the fencing token of the grant that it applied last; 0 before the first
 * @param number the number of the grant that it applied last; 0 before the first
 */
public record ShareReport(double fraction, long fencingToken, long number) {}
