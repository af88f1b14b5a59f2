package dewplank.controlplane;

import java.util.List;

/**
 * The bootstrap of the fleet, as recorded in the storage of a process when the process started.
 *
 * @param founders addresses of the acceptors with which the fleet was bootstrapped, as IP:PORT; not null
 * @param firstStart whether the fleet starts for the first time, so that no vote or promise can exist yet
 */
record FleetBootstrap(List<String> founders, boolean firstStart) {}
