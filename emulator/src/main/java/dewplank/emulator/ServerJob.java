package dewplank.emulator;

/** A request at a server. Jobs are ordered by the attained work at which they complete, then by order of arrival. */
final class ServerJob implements Comparable<ServerJob> {
    final ClientAttempt request;
    /** The request's work at this server, in milliseconds of a standard core. */
    final double work;

    final Server.ResponseHandler handler;
    /** Whether the request has no effect if an earlier request with the same idempotency key took effect. */
    final boolean isDeduplicated;

    private double doneAtWork;
    private long arrivalOrder;

    ServerJob(ClientAttempt request, double work, Server.ResponseHandler handler, boolean isDeduplicated) {
        this.request = request;
        this.work = work;
        this.handler = handler;
        this.isDeduplicated = isDeduplicated;
    }

    /** Called when the job is assigned a slot. */
    void start(double attainedWork, long order) {
        doneAtWork = attainedWork + work;
        arrivalOrder = order;
    }

    /** Remaining work once each running job has attained the given work. */
    double remainingWork(double attainedWork) {
        return doneAtWork - attainedWork;
    }

    @Override
    public int compareTo(ServerJob other) {
        int byWork = Double.compare(doneAtWork, other.doneAtWork);
        return byWork != 0 ? byWork : Long.compare(arrivalOrder, other.arrivalOrder);
    }
}
