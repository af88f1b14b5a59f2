/** Drives the model in virtual time: decision modules through their host interface, no sockets, no waiting. */
package dewplank.emulator.virtualtime;
