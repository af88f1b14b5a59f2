package dewplank.balancer.adaptive;

/** The recent minimum response time of the servers in a zone. */
final class ZoneStats {
    double minElapsedMs;
}
