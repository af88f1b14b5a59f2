package dewplank.quota;

/**
 * A control plane's report on its current share, sent in its heartbeats. Immutable.
 *
 * @param fraction the current share; 0 if it has none
 * @param fencingToken the fencing token of the grant that was applied last; 0 before the first
 * @param number the number of the grant that was applied last; 0 before the first
 */
public record ShareReport(double fraction, long fencingToken, long number) {}
