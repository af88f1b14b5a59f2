package dewplank.controlplane;

import java.util.List;

/**
 * The bootstrap of the fleet, as recorded in the storage of a process when the process started.
 *
 * @param founders addresses of the acceptors with which the fleet was bootstrapped, as IP:PORT; not null
 * @param firstStart whether no vote or promise of this process can exist yet: it has no disk, or its disk was empty and
 *     the settings declare the initial start of the fleet
 */
record FleetBootstrap(List<String> founders, boolean firstStart) {}
