package dewplank.dataplane;

import dewplank.exchange.HttpCall;
import dewplank.http.Headers;
import dewplank.net.Scheduler;

/**
 * Discards the response to a call whose outcome has no effect. Not thread-safe; must be used on the event loop's thread
 * only.
 */
final class DiscardingListener implements HttpCall.Listener {
    private Scheduler.Timer timeout;
    private boolean isOver;

    /** Cancels the timer when the call is over, so that a completed call is not retained until its timeout. */
    void cancelWhenOver(Scheduler.Timer callTimeout) {
        timeout = callTimeout;
        if (isOver) {
            timeout.cancel();
        }
    }

    private void onEnd() {
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
        onEnd();
    }

    @Override
    public void failed(HttpCall.Failure failure) {
        onEnd();
    }
}
