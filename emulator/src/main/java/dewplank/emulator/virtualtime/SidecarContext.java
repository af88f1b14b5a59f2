package dewplank.emulator.virtualtime;

import dewplank.emulator.World;

/**
 * What the parts of one emulated sidecar have in common.
 *
 * @param world that the sidecar is in
 * @param number counts the run's sidecars from 0
 * @param inbox takes the events for the sidecar's balancer
 */
record SidecarContext(World world, int number, EventInbox inbox) {}
