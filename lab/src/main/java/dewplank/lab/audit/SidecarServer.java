package dewplank.lab.audit;

import dewplank.emulator.RecordedEvent;

/**
 * The numbers of a sidecar and a server, as a key for the directory's notifications to the sidecar about the server.
 */
record SidecarServer(int sidecar, int server) {
    static SidecarServer of(RecordedEvent event) {
        return new SidecarServer(event.sidecar(), event.server());
    }
}
