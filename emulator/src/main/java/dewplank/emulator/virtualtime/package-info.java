/**
 * Drives the emulator's model in virtual time, without sockets, processes or waiting. {@link
 * dewplank.emulator.virtualtime.VirtualRun} runs one scenario; {@link dewplank.emulator.virtualtime.EmulatedSidecar} is
 * the host of a balancer, with a class for each of its concerns: requests, attempts, connections, the endpoint list and
 * health checks. Runs are deterministic: the same scenario, seed and policy produce the same events. No result may
 * therefore depend on a real clock, on thread scheduling or on the iteration order of a hash table.
 */
package dewplank.emulator.virtualtime;
