package dewplank.dataplane;

import dewplank.exchange.HttpCall;
import dewplank.http.Headers;

/** Takes the answer to a call whose outcome changes nothing. */
final class DiscardingListener implements HttpCall.Listener {
    @Override
    public boolean head(int status, Headers headers) {
        return true;
    }

    @Override
    public void body(byte[] bytes) {}

    @Override
    public void complete() {}

    @Override
    public void failed(HttpCall.Failure failure) {}
}
