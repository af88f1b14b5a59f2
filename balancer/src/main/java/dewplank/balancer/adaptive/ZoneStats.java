package dewplank.balancer.adaptive;

/** A zone: the least time lately from a send there to its answer. */
final class ZoneStats {
    double minElapsedMs;
}
