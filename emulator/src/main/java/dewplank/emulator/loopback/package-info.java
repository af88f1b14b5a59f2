/**
 * Drives the emulator's model in real time: the model's servers, directory, peer network and clients listen and
 * connect on loopback sockets, and each sidecar runs as a process. {@link dewplank.emulator.loopback.LoopbackRun}
 * plays one scenario. The model runs on one event loop. Its lateness is measured, and a run in which it was late is
 * marked unsound, as its figures then describe the emulator and not the sidecars. {@link
 * dewplank.emulator.loopback.HttpClient}, {@link dewplank.emulator.loopback.HttpEndpoint} and {@link
 * dewplank.emulator.loopback.ProgramProcess} also serve the load tool and the stand-in fleet.
 */
package dewplank.emulator.loopback;
