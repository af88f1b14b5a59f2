/**
 * Drives the emulator's model in virtual time, without sockets, processes or waiting. {@link
 * dewplank.emulator.virtualtime.VirtualRun} plays one scenario; {@link dewplank.emulator.virtualtime.EmulatedSidecar}
 * is the host of a balancer, with a class for each of its concerns: requests, attempts, connections, the directory's
 * list, health checks. The same scenario, seed and policy give the same run, event by event; nothing here may use a
 * clock, a thread's schedule or the iteration order of a hash table where it could change that.
 */
package dewplank.emulator.virtualtime;
