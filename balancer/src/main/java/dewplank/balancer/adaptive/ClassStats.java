package dewplank.balancer.adaptive;

import dewplank.balancer.Settings.RequestClass;

/** A class of requests: its rules, its value so far, and the times that its requests take. */
final class ClassStats {
    final RequestClass rules;
    /** Work of a request, in milliseconds of a standard core. */
    final RunningMean work;

    final RunningMean elapsed = new RunningMean(0);
    double idleElapsedMs;
    double lastAnswerAtMs;
    double valueRequested;
    double valueServed;

    ClassStats(RequestClass rules, double firstGuessMs) {
        this.rules = rules;
        this.work = new RunningMean(firstGuessMs);
        this.idleElapsedMs = firstGuessMs;
    }

    double servedShare() {
        return valueRequested <= 0 ? 1 : valueServed / valueRequested;
    }
}
