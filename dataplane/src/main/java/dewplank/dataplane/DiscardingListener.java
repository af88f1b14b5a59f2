package dewplank.dataplane;

import dewplank.exchange.HttpCall;
import dewplank.http.Headers;

/** For calls whose answer changes nothing. */
final class DiscardingListener implements HttpCall.Listener {
    @Override
    public boolean head(int status, Headers headers) {
        return true;
    }

    @Override
    public void body(byte[] piece) {}

    @Override
    public void complete() {}

    @Override
    public void failed(HttpCall.Failure failure) {}
}
