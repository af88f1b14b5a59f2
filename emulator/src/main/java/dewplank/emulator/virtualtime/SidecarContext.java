package dewplank.emulator.virtualtime;

import dewplank.emulator.World;

/**
 * The objects that the components of one emulated sidecar share.
 *
 * @param world environment of the sidecar
 * @param number index of the sidecar in the run, from 0
 * @param inbox queue of events for the sidecar's balancer
 */
record SidecarContext(World world, int number, EventInbox inbox) {}
