package dewplank.lab.audit;

import dewplank.emulator.RecordedEvent;

/** A sidecar and a server, by their numbers: what the directory notifies of is known by the one about the other. */
record SidecarServer(int sidecar, int server) {
    static SidecarServer of(RecordedEvent event) {
        return new SidecarServer(event.sidecar(), event.server());
    }
}
