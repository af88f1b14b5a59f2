package dewplank.emulator.virtualtime;

import dewplank.emulator.EmulatedEnvironment;

/**
 * The objects that the components of one emulated sidecar share.
 *
 * @param environment emulated environment of the sidecar
 * @param number index of the sidecar in the run, from 0
 * @param inbox queue of events for the sidecar's balancer
 */
record SidecarContext(EmulatedEnvironment environment, int number, EventInbox inbox) {}
