package dewplank.controlplane;

import java.util.List;

/**
 * The bootstrap of the fleet as a process's storage recorded it when the process started.
 *
 * @param founders addresses of the acceptors that the fleet was bootstrapped with, as IP:PORT; not null
 * @param firstStart whether the fleet starts for the first time: no vote and no promise can have been given before
 */
record FleetBootstrap(List<String> founders, boolean firstStart) {}
