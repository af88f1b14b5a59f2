/**
 * Drives the model in real time on loopback sockets: the same servers, directory and clients, round sidecars that run
 * as processes of their own. All of it on one loop, whose lateness is watched: a run that came late is marked unsound.
 */
package dewplank.emulator.loopback;
