package dewplank.balancer.adaptive;

import dewplank.balancer.Settings.RequestClass;

/** A class of requests, its value requested and served, and the latencies of its requests. */
final class ClassStats {
    final RequestClass requestClass;
    /** The work of a request, in milliseconds of a standard core. */
    final RunningMean work;

    final RunningMean elapsed = new RunningMean(0);
    double idleElapsedMs;
    double lastResponseAtMs;
    double valueRequested;
    double valueServed;

    ClassStats(RequestClass requestClass, double initialMs) {
        this.requestClass = requestClass;
        this.work = new RunningMean(initialMs);
        this.idleElapsedMs = initialMs;
    }

    double servedFraction() {
        return valueRequested <= 0 ? 1 : valueServed / valueRequested;
    }
}
