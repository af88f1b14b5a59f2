package dewplank.exchange;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/** How a peer ends a connection. */
public enum ConnectionEnd {
    RESET {
        @Override
        public void apply(TestPeer peer) throws IOException {
            peer.reset();
        }
    },
    END_OF_OUTPUT {
        @Override
        public void apply(TestPeer peer) throws IOException {
            peer.closeOutput();
        }
    },
    END_OF_OUTPUT_AND_RESET {
        @Override
        public void apply(TestPeer peer) throws IOException, InterruptedException {
            peer.closeOutput();
            TimeUnit.MILLISECONDS.sleep(RESET_DELAY_MS);
            peer.reset();
        }
    },
    /** The system sends the end of the output, and a reset if bytes are unread or arrive later. */
    CLOSE {
        @Override
        public void apply(TestPeer peer) throws IOException {
            peer.close();
        }
    };

    private static final int RESET_DELAY_MS = 1;

    /** Ends the connection of the peer. */
    public abstract void apply(TestPeer peer) throws IOException, InterruptedException;
}
