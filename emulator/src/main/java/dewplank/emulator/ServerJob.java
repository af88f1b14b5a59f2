package dewplank.emulator;

/** A request at a server. Jobs are ordered by the attained work at which they are done, then by their arrival. */
final class ServerJob implements Comparable<ServerJob> {
    final ClientAttempt request;
    /** Work that this server does for it, in milliseconds of a standard core. */
    final double work;

    final Server.ResponseHandler handler;
    /** Whether its effect is left out where the idempotency key has had one. */
    final boolean isDeduplicated;

    private double doneAtWork;
    private long arrivalOrder;

    ServerJob(ClientAttempt request, double work, Server.ResponseHandler handler, boolean isDeduplicated) {
        this.request = request;
        this.work = work;
        this.handler = handler;
        this.isDeduplicated = isDeduplicated;
    }

    /** It gets a slot. */
    void start(double attainedWork, long order) {
        doneAtWork = attainedWork + work;
        arrivalOrder = order;
    }

    /** Work that is left when each running job has attained this much. */
    double remainingWork(double attainedWork) {
        return doneAtWork - attainedWork;
    }

    @Override
    public int compareTo(ServerJob other) {
        int byWork = Double.compare(doneAtWork, other.doneAtWork);
        return byWork != 0 ? byWork : Long.compare(arrivalOrder, other.arrivalOrder);
    }
}
