package dewplank.dataplane;

import dewplank.exchange.HttpCall;
import dewplank.http.Headers;
import dewplank.net.Scheduler;

/** Takes the answer to a call whose outcome changes nothing. On the event loop's thread only. */
final class DiscardingListener implements HttpCall.Listener {
    private Scheduler.Timer timeout;
    private boolean isOver;

    /** Cancels the timer as soon as the call is over, so that an answered call is not kept until its time-out. */
    void cancelWhenOver(Scheduler.Timer callTimeout) {
        timeout = callTimeout;
        if (isOver) {
            timeout.cancel();
        }
    }

    private void over() {
        isOver = true;
        if (timeout != null) {
            timeout.cancel();
        }
    }

    @Override
    public boolean head(int status, Headers headers) {
        return true;
    }

    @Override
    public void body(byte[] bytes) {}

    @Override
    public void complete() {
        over();
    }

    @Override
    public void failed(HttpCall.Failure failure) {
        over();
    }
}
